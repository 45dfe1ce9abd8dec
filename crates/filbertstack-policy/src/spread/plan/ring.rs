//! A ring of targets. Each target keeps its place when others leave.

use std::collections::BTreeMap;

use crate::spread::plan::RingLink;
use crate::spread::plan::TargetKey;

/// Returns the strides of a ring of `len` places in ascending order. At most `fanout` strides are
/// chosen: the powers of two first, then three times each of them, then any others.
///
/// With the powers of two alone, a chunk that every holder passes on in each turn reaches `len`
/// instances in as many turns as `len` has binary digits.
pub fn strides(len: usize, fanout: usize) -> Vec<usize> {
    let powers = (0..usize::BITS).map(|bit| 1 << bit);
    let powers = powers.take_while(|&stride| stride < len);
    let threes = powers.clone().map(|power| 3 * power);
    let threes = threes.filter(|&stride| stride < len);
    let others = (1..len).filter(|stride| !is_regular(*stride));
    let mut strides: Vec<_> = powers.chain(threes).chain(others).take(fanout).collect();
    strides.sort_unstable();
    strides
}

/// Returns whether the stride is a power of two or three times a power of two.
fn is_regular(stride: usize) -> bool {
    stride.is_power_of_two() || (stride.is_multiple_of(3) && (stride / 3).is_power_of_two())
}

#[derive(Debug, Default)]
pub(super) struct Ring {
    slots: Vec<Option<TargetKey>>,
    places: BTreeMap<TargetKey, usize>,
    free: Vec<usize>,
}

impl Ring {
    /// Gives the target a free place, or a new one at the end.
    pub(super) fn join(&mut self, key: TargetKey) {
        let place = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[place] = Some(key);
        self.places.insert(key, place);
    }

    /// Returns the number of places, including those of targets that left.
    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }

    pub(super) fn members(&self) -> impl Iterator<Item = TargetKey> {
        self.places.keys().copied()
    }

    pub(super) fn leave(&mut self, key: TargetKey) {
        if let Some(place) = self.places.remove(&key) {
            self.slots[place] = None;
            self.free.push(place);
        }
    }

    /// Returns the targets at the strides before `key`. If a place is empty, the nearest target
    /// before it is taken.
    pub(super) fn before(&self, key: TargetKey, fanout: usize) -> Vec<RingLink> {
        let len = self.slots.len();
        self.at_strides(key, fanout, |place, stride| (place + len - stride) % len)
    }

    /// Returns the targets at the strides after `key`, and those that may reach `key` across empty
    /// places.
    pub(super) fn after(&self, key: TargetKey, fanout: usize) -> Vec<RingLink> {
        let len = self.slots.len();
        let Some(&place) = self.places.get(&key) else {
            return Vec::new();
        };
        // A target that counts back to an empty place directly after `key` ends up at `key`.
        let gap = (1..len).take_while(|at| self.slots[(place + at) % len].is_none());
        let gap = gap.count();
        let mut found = Vec::new();
        for reach in 0..=gap {
            let ahead = |place: usize, stride: usize| (place + stride + reach) % len;
            let at = self.exact_strides(place, fanout, ahead);
            found.extend(at);
        }
        found
    }

    fn exact_strides(
        &self,
        place: usize,
        fanout: usize,
        step: impl Fn(usize, usize) -> usize,
    ) -> Vec<RingLink> {
        let strides = strides(self.slots.len(), fanout);
        let places = to_u32(strides.len());
        let numbered = strides.into_iter().enumerate();
        let found = numbered.filter_map(|(at, stride)| {
            let target = self.slots[step(place, stride)]?;
            let place = to_u32(at);
            Some(RingLink {
                target,
                place,
                places,
            })
        });
        found.collect()
    }

    fn at_strides(
        &self,
        key: TargetKey,
        fanout: usize,
        step: impl Fn(usize, usize) -> usize,
    ) -> Vec<RingLink> {
        let Some(&from) = self.places.get(&key) else {
            return Vec::new();
        };
        let strides = strides(self.slots.len(), fanout);
        let places = to_u32(strides.len());
        let numbered = strides.into_iter().enumerate();
        let found = numbered.filter_map(|(at, stride)| {
            let target = self.nearest_before(step(from, stride))?;
            let place = to_u32(at);
            let link = RingLink {
                target,
                place,
                places,
            };
            (target != key).then_some(link)
        });
        found.collect()
    }

    fn nearest_before(&self, place: usize) -> Option<TargetKey> {
        let len = self.slots.len();
        (0..len).find_map(|back| self.slots[(place + len - back) % len])
    }
}

fn to_u32(at: usize) -> u32 {
    u32::try_from(at).unwrap_or(u32::MAX)
}
