"""The two wires: each joins its parsers and connections to the engine by `routing.ports`."""
