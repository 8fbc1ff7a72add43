"""The adapters of HTTP and NVMe/TCP: each joins its connections to the engine by `routing.ports`."""
