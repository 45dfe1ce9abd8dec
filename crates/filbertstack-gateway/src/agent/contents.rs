//! What lies staged at the engine, compared with the lists of pieces that the voters keep.

use std::rc::Rc;

use filbertstack_control::document::Weights;
use filbertstack_platform::engine::PieceList;
use filbertstack_policy::inherited::Fit;
use filbertstack_policy::inherited::Others;
use thiserror::Error;

use crate::agent::Agent;
use crate::agent::visit::Visit;
use crate::agent::visit::VisitError;
use crate::control::node::GroupError;
use crate::weights;
use crate::weights::PieceDigest;
use crate::weights::matches_digest;

/// Why it is not known what lies at the engine.
#[derive(Debug, Error)]
pub enum ContentsError {
    /// The engine could not be asked.
    #[error(transparent)]
    Visit(#[from] VisitError),
    /// The voters could not.
    #[error(transparent)]
    Group(#[from] GroupError),
}

/// What lies at the engine, by place.
#[derive(Default)]
pub struct Contents(Vec<Option<PieceDigest>>);

impl Contents {
    /// Reads on until `count` places are read.
    ///
    /// # Errors
    /// [`VisitError`]; then it is not known what lies there.
    pub async fn read(
        &mut self,
        visit: &mut Visit,
        model: &str,
        count: usize,
    ) -> Result<(), VisitError> {
        visit.read_places(model, &mut self.0, count).await
    }

    /// Whether a piece of `list` lies in its place.
    pub fn fits(&self, list: &PieceList, number: usize) -> bool {
        let number = u32::try_from(number).unwrap_or(u32::MAX);
        let contents = self.0.get(number as usize).copied().flatten();
        contents.is_some_and(|digest| matches_digest(list, number, &digest))
    }

    /// How the pieces of `list` fit.
    pub fn fit(&self, list: &PieceList) -> Fit {
        let pieces = list.digests.len();
        Fit {
            version: list.weights.version,
            pieces,
            fitting: (0..pieces).filter(|n| self.fits(list, *n)).count(),
        }
    }

    /// The places with no piece of any of `lists`.
    pub fn others(&self, lists: &[Rc<PieceList>]) -> Others {
        let known = |number| lists.iter().any(|list| self.fits(list, number));
        let empty = self.0.iter().filter(|found| found.is_none()).count();
        let unknown = (0..self.0.len()).filter(|n| self.0[*n].is_some() && !known(*n));
        Others {
            empty,
            unknown: unknown.count(),
        }
    }
}

/// The list that the voters keep of the latest version up to `version`.
///
/// # Errors
/// [`GroupError`] if no voter answers.
pub async fn list_upto(
    agent: &Agent,
    model: &str,
    version: u64,
) -> Result<Option<Rc<PieceList>>, GroupError> {
    let upto = Weights {
        model: model.into(),
        version,
    };
    let list = agent.node.kept_list(upto).await?;
    Ok(list.map(|list| Rc::new(weights::decode_list(&list))))
}

/// Whether a piece of another version lies where one of `list` should: a put that was carried out late.
/// What fits no other version has turned bad where it lies.
///
/// # Errors
/// [`ContentsError`]; then it is not known.
pub async fn is_mixed(agent: &Agent, list: &PieceList) -> Result<bool, ContentsError> {
    let model = &list.weights.model;
    let mut visit = Visit::begin(agent.engine.addr()).await?;
    let mut contents = Contents::default();
    let pieces = list.digests.len();
    contents.read(&mut visit, model, pieces).await?;
    let wrong: Vec<usize> = (0..pieces).filter(|n| !contents.fits(list, *n)).collect();
    if wrong.is_empty() {
        return Ok(false);
    }
    let mut next = list_upto(agent, model, u64::MAX).await?;
    while let Some(other) = next {
        if wrong.iter().any(|n| contents.fits(&other, *n)) {
            return Ok(true);
        }
        next = match other.weights.version.checked_sub(1) {
            Some(older) => list_upto(agent, model, older).await?,
            None => None,
        };
    }
    Ok(false)
}
