//! The ways that are compared.

use super::Outcome;
use super::Setting;
use super::mesh;
use super::mesh::Mesh;
use super::push;
use super::push::Push;

/// A way with its name.
pub struct Way {
    pub name: &'static str,
    pub kind: Kind,
}

pub enum Kind {
    Push(Push),
    Mesh(fn() -> Mesh),
}

/// All ways, the chosen one last but for its variants.
pub const WAYS: [Way; 9] = [
    push("origin only", Push::Origin),
    push("whole-copy tree", Push::Tree),
    push("chain", Push::Chain),
    push("striped trees", Push::Stripes(2)),
    mesh("random mesh", Mesh::plain),
    mesh("rings, no turns", Mesh::turnless),
    mesh("rings", Mesh::chosen),
    mesh("rings, 10% late", || Mesh::late(10)),
    mesh("rings, 25% late", || Mesh::late(25)),
];

const fn push(name: &'static str, push: Push) -> Way {
    let kind = Kind::Push(push);
    Way { name, kind }
}

const fn mesh(name: &'static str, mesh: fn() -> Mesh) -> Way {
    let kind = Kind::Mesh(mesh);
    Way { name, kind }
}

impl Way {
    /// Whether a run with faults says something: the origin alone is the same for each target.
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
