//! Messages, framing and authenticated links between the system's own processes.
