//! `filbertstack check` validates a file of settings or declarations.

use filbertstack_core::Declarations;
use filbertstack_core::settings::read_document;

use super::Failure;
use crate::flags;

pub fn run(flags: &flags::Check) -> Result<(), Failure> {
    let document = read_document(&flags.file)?;
    let has_section = |kind: &str| document.sections.iter().any(|section| section.kind == kind);
    let content = if has_section("entry") {
        filbertstack_entry::Settings::from_document(document)?;
        "settings of an entry"
    } else if has_section("agent") {
        filbertstack_agent::Settings::from_document(document)?;
        "settings of an agent"
    } else {
        Declarations::from_document(document)?;
        "declarations"
    };
    println!("{}: {content}, nothing wrong", flags.file.display());
    Ok(())
}
