//! `filbertstack demo`.

use super::Failure;
use crate::flags;

pub fn run(_: &flags::Demo) -> Result<(), Failure> {
    Err("not yet".into())
}
