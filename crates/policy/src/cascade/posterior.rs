//! Discounted Beta posterior with change detection.

/// Effective number of ratings in the long-term window. With 500 the standard error at an adequacy of 0.9 is
/// 1.3 percentage points.
const LONG_TERM_RATINGS: f64 = 500.0;

/// Effective number of ratings in the recent window, which is compared with the older ratings.
const RECENT_RATINGS: f64 = 40.0;

/// Effective recent ratings required for a comparison.
const MIN_RECENT_RATINGS: f64 = 20.0;

/// Difference between recent and older ratings that counts as a change, in standard errors. Consecutive
/// comparisons overlap, so the threshold is far beyond that of a single test.
const CHANGE_THRESHOLD_SE: f64 = 3.5;

/// Posterior distribution of one adequacy. Increments carry no order, so an increment of many ratings counts
/// as one batch.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Posterior {
    long_term: DiscountedCounts,
    recent: DiscountedCounts,
}

#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct DiscountedCounts {
    adequate: f64,
    inadequate: f64,
}

impl Posterior {
    /// Adds new ratings. Returns whether a change was detected, in which case older ratings are dropped.
    pub fn update(&mut self, adequate: u64, inadequate: u64) -> bool {
        if adequate + inadequate == 0 {
            return false;
        }
        self.long_term.add(adequate, inadequate, LONG_TERM_RATINGS);
        self.recent.add(adequate, inadequate, RECENT_RATINGS);
        if !self.change_detected() {
            return false;
        }
        self.long_term = self.recent;
        true
    }

    /// Mean and standard deviation, given a prior with mean `prior` and a weight of `prior_ratings` ratings.
    pub fn estimate(&self, prior: f64, prior_ratings: f64) -> (f64, f64) {
        let adequate = self.long_term.adequate + prior * prior_ratings;
        let inadequate = self.long_term.inadequate + (1.0 - prior) * prior_ratings;
        let total = adequate + inadequate;
        let mean = adequate / total;
        let variance = mean * (1.0 - mean) / (total + 1.0);
        (mean, variance.sqrt())
    }

    /// Scales the weight down to at most `ratings` ratings and keeps the mean.
    pub fn limit_weight(&mut self, ratings: f64) {
        let scale = (ratings / self.long_term.total().max(ratings)).min(1.0);
        self.long_term.adequate *= scale;
        self.long_term.inadequate *= scale;
        self.recent = DiscountedCounts::default();
    }

    /// Effective number of ratings.
    pub fn effective_ratings(&self) -> f64 {
        self.long_term.total()
    }

    fn change_detected(&self) -> bool {
        let recent = self.recent.total();
        if recent < MIN_RECENT_RATINGS || self.long_term.total() < 2.0 * recent {
            return false;
        }
        let older = DiscountedCounts {
            adequate: (self.long_term.adequate - self.recent.adequate).max(0.0),
            inadequate: (self.long_term.inadequate - self.recent.inadequate).max(0.0),
        };
        let mean = (older.adequate + 1.0) / (older.total() + 2.0);
        let standard_error = (mean * (1.0 - mean) * (1.0 / recent + 1.0 / older.total().max(1.0))).sqrt();
        (self.recent.adequate / recent - mean).abs() > CHANGE_THRESHOLD_SE * standard_error
    }
}

impl DiscountedCounts {
    fn total(self) -> f64 {
        self.adequate + self.inadequate
    }

    /// Adds ratings and discounts earlier ones exponentially, to an effective number of at most `window`.
    fn add(&mut self, adequate: u64, inadequate: u64, window: f64) {
        let count = (adequate + inadequate) as f64;
        // A batch larger than the window, such as the whole history at start-up, is scaled down to the
        // window.
        let scale = (window / count).min(1.0);
        let decay = (1.0 - 1.0 / window).powf(count);
        self.adequate = self.adequate * decay + adequate as f64 * scale;
        self.inadequate = self.inadequate * decay + inadequate as f64 * scale;
    }
}
