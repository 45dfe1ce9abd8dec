//! The agent beside each target: holds weights and gates every order and request.
