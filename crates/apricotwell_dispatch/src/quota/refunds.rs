//! Where a sum of spent tokens was counted, and what of it was refunded.
//!
//! An instance reports what it has spent since its start, a sum that only grows. A refund names the place
//! of its charge in this sum. Each instance that counted the sum remembers in which buckets of its window
//! it did so, and lowers these: neither clocks nor lost or late reports decide where a refund is placed.

use std::collections::VecDeque;

use apricotwell_messages::SpendingRefund;
use apricotwell_types::Tokens;

/// Number of a bucket of a window, counted from the window's first one.
pub(super) type BucketNumber = u32;

/// Refunds of one organisation in one report, those that changed last; earlier ones were in reports before.
const MAX_TOLD_REFUNDS: usize = 4;

/// Sum of the tokens that one instance has spent since its start, as counted in a window.
///
/// # Invariants
///
/// The parts are sorted by their buckets, no two are of the same bucket and none is empty. Refunds are of
/// parts that are still in the window.
#[derive(Debug, Default)]
pub(super) struct CountedSum {
    sum: Tokens,
    // The last parts of the sum.
    parts: VecDeque<Part>,
    // The one that changed last is the last.
    refunds: Vec<SpendingRefund>,
}

#[derive(Debug)]
struct Part {
    bucket: BucketNumber,
    tokens: Tokens,
}

impl CountedSum {
    /// Returns a sum that was counted before, nobody knows where.
    pub(super) fn from_total(sum: Tokens) -> Self {
        Self {
            sum,
            ..Self::default()
        }
    }

    /// Returns the sum, refunded tokens included.
    pub(super) fn sum(&self) -> Tokens {
        self.sum
    }

    /// Returns the sum without the tokens whose refunds are known.
    pub(super) fn net(&self) -> Tokens {
        let refunded: Tokens = self.refunds.iter().map(|refund| refund.tokens).sum();
        self.sum.saturating_sub(refunded)
    }

    /// Notes that so many tokens more were counted in a bucket, the newest one.
    pub(super) fn add(&mut self, bucket: BucketNumber, tokens: Tokens) {
        if tokens == 0 {
            return;
        }
        self.sum += tokens;
        match self.parts.back_mut() {
            Some(last) if last.bucket == bucket => last.tokens += tokens,
            _ => self.parts.push_back(Part { bucket, tokens }),
        }
    }

    /// Forgets the parts that were counted in buckets before this one.
    pub(super) fn forget_before(&mut self, bucket: BucketNumber) {
        while self.parts.front().is_some_and(|part| part.bucket < bucket) {
            self.parts.pop_front();
        }
        let start = self.start();
        self.refunds.retain(|refund| refund.before >= start);
    }

    /// Returns the refunds to report.
    pub(super) fn told_refunds(&self) -> &[SpendingRefund] {
        let skipped = self.refunds.len().saturating_sub(MAX_TOLD_REFUNDS);
        &self.refunds[skipped..]
    }

    /// Returns what was counted before a bucket; `None` if nothing was counted in it.
    pub(super) fn before_bucket(&self, bucket: BucketNumber) -> Option<Tokens> {
        let mut before = self.start();
        for part in &self.parts {
            if part.bucket == bucket {
                return Some(before);
            }
            before += part.tokens;
        }
        None
    }

    /// Returns the bucket in which the sum first exceeded `before`; `None` if it has left the window.
    pub(super) fn bucket_after(&self, before: Tokens) -> Option<BucketNumber> {
        let mut end = self.start();
        if before < end {
            return None;
        }
        let mut parts = self.parts.iter();
        let part = parts.find(|part| {
            end += part.tokens;
            before < end
        });
        part.map(|part| part.bucket)
    }

    /// Notes a refund of tokens that this instance charged after it had spent `before`.
    pub(super) fn add_refund(&mut self, before: Tokens, tokens: Tokens) {
        let known = self.take_refund(before);
        let tokens = known + tokens;
        self.refunds.push(SpendingRefund { before, tokens });
    }

    /// Notes a refund that another instance reports, and returns the tokens that were not known of.
    pub(super) fn raise_refund(&mut self, reported: &SpendingRefund) -> Tokens {
        let known = self.take_refund(reported.before);
        let tokens = reported.tokens.max(known);
        self.refunds.push(SpendingRefund {
            before: reported.before,
            tokens,
        });
        tokens - known
    }

    fn take_refund(&mut self, before: Tokens) -> Tokens {
        let known = self.refunds.iter().position(|it| it.before == before);
        known.map_or(0, |index| self.refunds.remove(index).tokens)
    }

    // Returns the sum before the first known part.
    fn start(&self) -> Tokens {
        let known: Tokens = self.parts.iter().map(|part| part.tokens).sum();
        self.sum - known
    }
}
