//! The strategies that are compared.

use super::Outcome;
use super::Setting;
use super::mesh;
use super::mesh::MeshConfig;
use super::push;
use super::push::Push;

/// A strategy and its name.
pub struct Strategy {
    pub name: &'static str,
    pub kind: Kind,
}

pub enum Kind {
    Push(Push),
    Mesh(fn() -> MeshConfig),
}

/// All strategies. The chosen one comes last, followed only by its variants.
pub const STRATEGIES: [Strategy; 9] = [
    push("origin only", Push::Origin),
    push("whole-copy tree", Push::Tree),
    push("chain", Push::Chain),
    push("striped trees", Push::Stripes(2)),
    mesh("random mesh", MeshConfig::random),
    mesh("rings, no turns", MeshConfig::without_turns),
    mesh("rings", MeshConfig::chosen),
    mesh("rings, 10% late", || MeshConfig::with_late(10)),
    mesh("rings, 25% late", || MeshConfig::with_late(25)),
];

const fn push(name: &'static str, push: Push) -> Strategy {
    let kind = Kind::Push(push);
    Strategy { name, kind }
}

const fn mesh(name: &'static str, mesh: fn() -> MeshConfig) -> Strategy {
    let kind = Kind::Mesh(mesh);
    Strategy { name, kind }
}

impl Strategy {
    /// Returns whether a run with faults is meaningful. With the origin alone, it is the same for
    /// each target.
    pub fn takes_faults(&self) -> bool {
        !matches!(self.kind, Kind::Push(Push::Origin))
    }

    pub fn run(&self, setting: &Setting) -> Outcome {
        match self.kind {
            Kind::Push(push) => push::run(push, setting),
            Kind::Mesh(mesh) => mesh::run(mesh(), setting, &[]),
        }
    }
}
