"""An in-memory fake of the object API, for tests of what is written."""

from geraniumlink import _objects

UnavailableError = _objects.UnavailableError


class MemoryApi:
    """Conditional updates, with outages and responses that get lost.

    ``lose_answers`` is the number of writes still to succeed without a
    response; during an ``outage`` every call fails.
    """

    def __init__(self):
        self.revision = 0
        self.objects = {}
        self.lose_answers = 0
        self.outage = False

    def store(self, kind, name, value):
        """Write without a condition; return the stored object."""
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
