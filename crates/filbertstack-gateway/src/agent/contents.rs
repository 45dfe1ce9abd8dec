//! Compares the pieces staged at the engine with the lists of pieces that the voters keep.

use std::rc::Rc;

use filbertstack_control::document::Weights;
use filbertstack_platform::engine::PieceList;
use filbertstack_policy::inherited::Unmatched;
use filbertstack_policy::inherited::VersionMatch;
use thiserror::Error;

use crate::agent::Agent;
use crate::agent::session::Session;
use crate::agent::session::SessionError;
use crate::control::node::GroupError;
use crate::weights;
use crate::weights::PieceDigest;
use crate::weights::matches_digest;

/// `ContentsError` describes why the staged pieces are unknown.
#[derive(Debug, Error)]
pub enum ContentsError {
    /// The engine could not be asked.
    #[error(transparent)]
    Session(#[from] SessionError),
    /// The voters could not be asked.
    #[error(transparent)]
    Group(#[from] GroupError),
    /// The engine has restarted or begun an order meanwhile.
    #[error("the engine has restarted or begun an order meanwhile; reading again")]
    Changed,
}

/// `Contents` holds the digests of the pieces staged at the engine, by number.
#[derive(Default)]
pub struct Contents(Vec<Option<PieceDigest>>);

impl Contents {
    /// Reads digests until `count` of them are known.
    ///
    /// # Errors
    /// [`SessionError`]; the staged pieces are then unknown.
    pub async fn read(
        &mut self,
        session: &mut Session,
        model: &str,
        count: usize,
    ) -> Result<(), SessionError> {
        session.read_digests(model, &mut self.0, count).await
    }

    /// Returns whether the staged piece `number` is the one of `list`.
    pub fn fits(&self, list: &PieceList, number: usize) -> bool {
        let number = u32::try_from(number).unwrap_or(u32::MAX);
        let contents = self.0.get(number as usize).copied().flatten();
        contents.is_some_and(|digest| matches_digest(list, number, &digest))
    }

    /// Returns how many of the staged pieces match `list`.
    pub fn fit(&self, list: &PieceList) -> VersionMatch {
        let pieces = list.digests.len();
        VersionMatch {
            version: list.weights.version,
            pieces,
            matching: (0..pieces).filter(|n| self.fits(list, *n)).count(),
        }
    }

    /// Counts the numbers at which no piece of any of `lists` is staged.
    pub fn others(&self, lists: &[Rc<PieceList>]) -> Unmatched {
        let known = |number| lists.iter().any(|list| self.fits(list, number));
        let empty = self.0.iter().filter(|found| found.is_none()).count();
        let unknown = (0..self.0.len()).filter(|n| self.0[*n].is_some() && !known(*n));
        Unmatched {
            empty,
            unknown: unknown.count(),
        }
    }
}

/// Returns the list that the voters keep of the latest version up to `version`.
///
/// # Errors
/// [`GroupError`] if no voter answers.
pub async fn latest_list(
    agent: &Agent,
    model: &str,
    version: u64,
) -> Result<Option<Rc<PieceList>>, GroupError> {
    let upto = Weights {
        model: model.into(),
        version,
    };
    let list = agent.node.piece_list(upto).await?;
    Ok(list.map(|list| Rc::new(weights::decode_list(&list))))
}
