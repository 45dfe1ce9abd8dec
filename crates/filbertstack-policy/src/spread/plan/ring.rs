//! A ring of targets with places that stay when others leave.

use std::collections::BTreeMap;

use crate::spread::plan::Seated;
use crate::spread::plan::TargetKey;

/// The strides of a ring of `len` places, `fanout` at most: the powers of two, and three times
/// each while there is room.
///
/// With the powers of two alone, a chunk that every holder passes on at each turn reaches `len`
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
    /// Takes the place of one that left, or a new one at the end.
    pub(super) fn join(&mut self, key: TargetKey) {
        let place = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[place] = Some(key);
        self.places.insert(key, place);
    }

    /// The places, those of targets that left included.
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

    /// The targets at the strides before `key`; over a gap the next one before it.
    pub(super) fn before(&self, key: TargetKey, fanout: usize) -> Vec<Seated> {
        let len = self.slots.len();
        self.at_strides(key, fanout, |place, stride| (place + len - stride) % len)
    }

    /// The targets at the strides after `key`, and those that reach it over a gap.
    pub(super) fn after(&self, key: TargetKey, fanout: usize) -> Vec<Seated> {
        let len = self.slots.len();
        let Some(&place) = self.places.get(&key) else {
            return Vec::new();
        };
        // Whoever counts back into the gap after `key` comes to `key`.
        let gap = (1..len).take_while(|at| self.slots[(place + at) % len].is_none());
        let gap = gap.count();
        let mut found = Vec::new();
        for reach in 0..=gap {
            let ahead = |place: usize, stride: usize| (place + stride + reach) % len;
            let at = self.exact(place, fanout, ahead);
            found.extend(at);
        }
        found
    }

    fn exact(
        &self,
        place: usize,
        fanout: usize,
        step: impl Fn(usize, usize) -> usize,
    ) -> Vec<Seated> {
        let strides = strides(self.slots.len(), fanout);
        let places = count(strides.len());
        let seats = strides.into_iter().enumerate();
        let found = seats.filter_map(|(at, stride)| {
            let target = self.slots[step(place, stride)]?;
            let place = count(at);
            Some(Seated {
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
    ) -> Vec<Seated> {
        let Some(&from) = self.places.get(&key) else {
            return Vec::new();
        };
        let strides = strides(self.slots.len(), fanout);
        let places = count(strides.len());
        let seats = strides.into_iter().enumerate();
        let found = seats.filter_map(|(at, stride)| {
            let target = self.nearest_before(step(from, stride))?;
            let place = count(at);
            let seated = Seated {
                target,
                place,
                places,
            };
            (target != key).then_some(seated)
        });
        found.collect()
    }

    fn nearest_before(&self, place: usize) -> Option<TargetKey> {
        let len = self.slots.len();
        (0..len).find_map(|back| self.slots[(place + len - back) % len])
    }
}

fn count(at: usize) -> u32 {
    u32::try_from(at).unwrap_or(u32::MAX)
}
