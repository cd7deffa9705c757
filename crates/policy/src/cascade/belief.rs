//! Discounted Beta posterior with restart on change.

/// Effective number of ratings remembered. With 500 the standard error at an adequacy of 0.9 is 1.3 points.
const MEMORY: f64 = 500.0;

/// Effective number of ratings in the recent part that is compared with the whole.
const RECENT: f64 = 40.0;

/// Recent ratings needed before a comparison.
const RECENT_MIN: f64 = 20.0;

/// Standard errors between the recent part and the whole that count as a change. Consecutive comparisons overlap, so
/// the threshold is far beyond that of a single test.
const CHANGE: f64 = 3.5;

/// Posterior of one adequacy. Increments carry no order, so an increment of many ratings counts as one batch.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Belief {
    whole: Weight,
    recent: Weight,
}

#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Weight {
    adequate: f64,
    inadequate: f64,
}

impl Belief {
    /// Folds new ratings in. Returns whether they revealed a change, upon which older ratings are dropped.
    pub fn fold(&mut self, adequate: u64, inadequate: u64) -> bool {
        if adequate + inadequate == 0 {
            return false;
        }
        self.whole.fold(adequate, inadequate, MEMORY);
        self.recent.fold(adequate, inadequate, RECENT);
        if !self.changed() {
            return false;
        }
        self.whole = self.recent;
        true
    }

    /// Mean and standard deviation, given a prior of `strength` ratings with mean `prior`.
    pub fn estimate(&self, prior: f64, strength: f64) -> (f64, f64) {
        let adequate = self.whole.adequate + prior * strength;
        let inadequate = self.whole.inadequate + (1.0 - prior) * strength;
        let total = adequate + inadequate;
        let mean = adequate / total;
        let variance = mean * (1.0 - mean) / (total + 1.0);
        (mean, variance.sqrt())
    }

    /// Reduces the weight to at most `ratings` ratings and keeps the mean.
    pub fn weaken(&mut self, ratings: f64) {
        let scale = (ratings / self.whole.total().max(ratings)).min(1.0);
        self.whole.adequate *= scale;
        self.whole.inadequate *= scale;
        self.recent = Weight::default();
    }

    /// Effective number of ratings.
    pub fn ratings(&self) -> f64 {
        self.whole.total()
    }

    fn changed(&self) -> bool {
        let recent = self.recent.total();
        if recent < RECENT_MIN || self.whole.total() < 2.0 * recent {
            return false;
        }
        let older = Weight {
            adequate: (self.whole.adequate - self.recent.adequate).max(0.0),
            inadequate: (self.whole.inadequate - self.recent.inadequate).max(0.0),
        };
        let mean = (older.adequate + 1.0) / (older.total() + 2.0);
        let error = (mean * (1.0 - mean) * (1.0 / recent + 1.0 / older.total().max(1.0))).sqrt();
        (self.recent.adequate / recent - mean).abs() > CHANGE * error
    }
}

impl Weight {
    fn total(self) -> f64 {
        self.adequate + self.inadequate
    }

    fn fold(&mut self, adequate: u64, inadequate: u64, memory: f64) {
        let count = (adequate + inadequate) as f64;
        // A batch beyond the memory, such as the whole history at start-up, counts as one memory's worth.
        let scale = (memory / count).min(1.0);
        let keep = (1.0 - 1.0 / memory).powf(count);
        self.adequate = self.adequate * keep + adequate as f64 * scale;
        self.inadequate = self.inadequate * keep + inadequate as f64 * scale;
    }
}
