"""The object API in memory, for tests of what is written there."""

from geraniumlink import _objects

UnavailableError = _objects.UnavailableError


class MemoryApi:
    """Conditional updates, with answers that are lost."""

    def __init__(self):
        self.revision = 0
        self.objects = {}
        self.lose_answers = 0
        self.outage = False

    def store(self, kind, name, value):
        self.revision += 1
        stored = _objects.Object(kind, name, self.revision, value)
        self.objects[(kind, name)] = stored
        return stored

    async def get(self, kind, name):
        if self.outage:
            raise UnavailableError("outage")
        absent = _objects.Object(kind, name, 0, None)
        return self.objects.get((kind, name), absent)

    async def put(self, kind, name, value, if_version):
        current = await self.get(kind, name)
        if current.version != if_version:
            raise _objects.ConflictError(current)
        stored = self.store(kind, name, value)
        if self.lose_answers:
            self.lose_answers -= 1
            raise UnavailableError("the answer was lost")
        return stored
