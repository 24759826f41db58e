"""Small stand-ins for the platform and the backend servers.

Each is a process of its own with fault switches: POST a JSON object to
``/faults`` to set them and GET ``/record`` for what really happened. They
are for tests, benches and the demonstration, and are not shipped.
"""
