//! Tokens of one request.

/// Tokens that a request holds in the memory of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Footprint {
    /// Tokens of the request alone: the rest of the prompt, and the expected output.
    pub(super) own: u64,
    /// Keys of the shared parts of the prompt, and their tokens.
    pub(super) parts: Vec<(u64, u64)>,
    total: u64,
}

impl Footprint {
    /// Shared parts that are told apart; callers may name any number of them.
    const MAX_PARTS: usize = 16;

    /// The footprint of a request with the shared parts of its prompt. Together the parts count no more than the prompt,
    /// whatever the caller states.
    pub fn new(prompt: u64, output: u64, shared: impl IntoIterator<Item = (u64, u64)>) -> Self {
        let mut rest = prompt;
        let mut parts: Vec<(u64, u64)> = vec![];
        for (key, tokens) in shared.into_iter().take(Self::MAX_PARTS) {
            let tokens = tokens.min(rest);
            if tokens > 0 && parts.iter().all(|it| it.0 != key) {
                parts.push((key, tokens));
                rest -= tokens;
            }
        }
        Self {
            own: rest.saturating_add(output),
            parts,
            total: prompt.saturating_add(output),
        }
    }

    /// All tokens, as if the request were alone at an engine.
    pub fn tokens(&self) -> u64 {
        self.total
    }
}
