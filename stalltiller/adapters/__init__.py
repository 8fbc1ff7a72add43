"""HTTP and NVMe/TCP adapters, which connect clients and targets to the engine through `routing.ports`."""
