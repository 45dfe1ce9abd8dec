//! What lies staged at the engine, compared with the lists of pieces that the voters keep.

use std::rc::Rc;

use filbertstack_control::document::Weights;
use filbertstack_platform::engine::PieceList;
use filbertstack_policy::remains::Fit;
use filbertstack_policy::remains::Others;
use thiserror::Error;

use crate::agent::Agent;
use crate::agent::visit::Visit;
use crate::agent::visit::VisitError;
use crate::control::node::GroupError;
use crate::weights;
use crate::weights::PieceDigest;
use crate::weights::is_piece;

/// Why it is not known what lies at the engine.
#[derive(Debug, Error)]
pub enum LookError {
    /// The engine could not be asked.
    #[error(transparent)]
    Visit(#[from] VisitError),
    /// The voters could not.
    #[error(transparent)]
    Group(#[from] GroupError),
}

/// What lies at the engine, by place.
#[derive(Default)]
pub struct Lying(Vec<Option<PieceDigest>>);

impl Lying {
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
        let lying = self.0.get(number as usize).copied().flatten();
        lying.is_some_and(|digest| is_piece(list, number, &digest))
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
        let empty = self.0.iter().filter(|lying| lying.is_none()).count();
        let strange = (0..self.0.len()).filter(|n| self.0[*n].is_some() && !known(*n));
        Others {
            empty,
            strange: strange.count(),
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
    Ok(list.map(|list| Rc::new(weights::unpacked(&list))))
}

/// Whether a piece of another version lies where one of `list` should: a put that was carried out late.
/// What fits no other version has turned bad where it lies.
///
/// # Errors
/// [`LookError`]; then it is not known.
pub async fn is_mixed(agent: &Agent, list: &PieceList) -> Result<bool, LookError> {
    let model = &list.weights.model;
    let mut visit = Visit::begin(agent.engine.addr()).await?;
    let mut lying = Lying::default();
    let pieces = list.digests.len();
    lying.read(&mut visit, model, pieces).await?;
    let wrong: Vec<usize> = (0..pieces).filter(|n| !lying.fits(list, *n)).collect();
    if wrong.is_empty() {
        return Ok(false);
    }
    let mut next = list_upto(agent, model, u64::MAX).await?;
    while let Some(other) = next {
        if wrong.iter().any(|n| lying.fits(&other, *n)) {
            return Ok(true);
        }
        next = match other.weights.version.checked_sub(1) {
            Some(older) => list_upto(agent, model, older).await?,
            None => None,
        };
    }
    Ok(false)
}
