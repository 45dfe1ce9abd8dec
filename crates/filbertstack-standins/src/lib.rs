//! Small stand-ins for engines, origins, weight stores and plain services, for the demo and tests.
