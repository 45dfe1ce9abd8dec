//! Manifests, the chunk store and the verified transfer of weights.
