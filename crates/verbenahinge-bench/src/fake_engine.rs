//! Fake model engine in virtual time, with batching, a bounded KV cache, prefix reuse and
//! priorities.
//!
//! Prompts are prefilled one at a time at a fixed rate. All running requests decode together in
//! steps that take longer as the batch grows.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenahinge_core::{Attempt, RequestId, Tier, Timestamp};

/// Prompt tokens that an engine prefills per second.
pub(crate) const PREFILL_TOKENS_PER_S: f64 = 20_000.0;

/// Duration of a decode step, which yields one token per running request, when the number of
/// running requests equals the slots.
pub(crate) const DECODE_STEP_FULL: Duration = Duration::from_millis(30);

/// Duration of a decode step as the batch size approaches zero.
const DECODE_STEP_EMPTY: Duration = Duration::from_millis(12);

/// Tokens in a full frame; the first frame of an attempt carries one token.
pub(crate) const FRAME_TOKENS: u32 = 4;

/// Maximum batch size as a multiple of the slots.
const BATCH_SLOTS_FACTOR: usize = 2;

/// Limit on the prompt tokens of the batch and, separately, on the cached prefix tokens.
const KV_CACHE_TOKENS: u32 = 160_000;

/// Request submitted to an engine.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EngineJob {
    pub(crate) request: RequestId,
    pub(crate) attempt: Attempt,
    pub(crate) vm: usize,
    pub(crate) tier: Tier,
    pub(crate) prompt_tokens: u32,
    pub(crate) prefix_tokens: u32,
    pub(crate) conversation: u64,
    /// Output tokens still to generate.
    pub(crate) remaining: u32,
    /// Sequence number of the next frame.
    pub(crate) next_seq: u64,
}

/// Result of work that an engine has completed.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum EngineOutput {
    /// The prompt of a request was prefilled; `tokens` leaves out the cached prefix.
    Prefilled { request: RequestId, tokens: u32 },
    /// A frame of output tokens was generated.
    Frame {
        job: EngineJob,
        tokens: u32,
        last: bool,
    },
}

/// LRU cache of prompt prefixes, keyed by conversation.
#[derive(Clone, Debug, Default)]
struct PrefixCache {
    /// Prefix tokens and time of last use, by conversation.
    entries: BTreeMap<u64, (u32, u64)>,
    /// Conversations by time of last use.
    by_last_use: BTreeMap<u64, u64>,
    tokens: u32,
    clock: u64,
}

impl PrefixCache {
    /// Returns the cached prefix tokens of a conversation and marks it as most recently used.
    fn touch(&mut self, conversation: u64) -> u32 {
        let Some(entry) = self.entries.get_mut(&conversation) else {
            return 0;
        };
        self.clock += 1;
        self.by_last_use.remove(&entry.1);
        entry.1 = self.clock;
        self.by_last_use.insert(self.clock, conversation);
        entry.0
    }

    /// Stores a prefix and evicts the least recently used ones above the limit.
    fn put(&mut self, conversation: u64, tokens: u32, limit: u32) {
        if let Some((old_tokens, last_use)) = self.entries.remove(&conversation) {
            self.by_last_use.remove(&last_use);
            self.tokens -= old_tokens;
        }
        self.clock += 1;
        self.entries.insert(conversation, (tokens, self.clock));
        self.by_last_use.insert(self.clock, conversation);
        self.tokens += tokens;
        while self.tokens > limit {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                return;
            };
            if let Some((tokens, _)) = self.entries.remove(&oldest) {
                self.tokens -= tokens;
            }
        }
    }
}

/// Fake model engine.
#[derive(Clone, Debug)]
pub(crate) struct FakeEngine {
    slots: usize,
    slow_factor: u32,
    /// Requests not yet in the batch, by tier and then in order of submission.
    waiting: BTreeMap<(Tier, u64), EngineJob>,
    /// Request being prefilled, its uncached prompt tokens and the end of the prefill.
    prefilling: Option<(EngineJob, u32, Timestamp)>,
    running: Vec<EngineJob>,
    frame_due: Option<Timestamp>,
    cache: PrefixCache,
    submit_count: u64,
    /// Number of starts, sent in load reports so that a restart is visible.
    pub(crate) incarnation: u64,
    /// Whether the engine has crashed and not yet restarted.
    pub(crate) down: bool,
}

impl FakeEngine {
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            slow_factor: 1,
            waiting: BTreeMap::new(),
            prefilling: None,
            running: Vec::new(),
            frame_due: None,
            cache: PrefixCache::default(),
            submit_count: 0,
            incarnation: 1,
            down: false,
        }
    }

    pub(crate) const fn slow_down(&mut self, factor: u32) {
        self.slow_factor = factor;
    }

    /// Number of requests in the batch, including the one being prefilled.
    pub(crate) fn running(&self) -> usize {
        self.running.len() + usize::from(self.prefilling.is_some())
    }

    /// Number of requests that are not in the batch yet.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn submit(&mut self, now: Timestamp, job: EngineJob) {
        self.submit_count += 1;
        self.waiting.insert((job.tier, self.submit_count), job);
        self.start_next_prefill(now);
    }

    /// Prompt tokens of all requests in the batch.
    fn batch_prompt_tokens(&self) -> u32 {
        let used: u32 = self.running.iter().map(|job| job.prompt_tokens).sum();
        used + self
            .prefilling
            .as_ref()
            .map_or(0, |(job, ..)| job.prompt_tokens)
    }

    /// Starts the next prefill if the batch and the KV cache have room.
    ///
    /// An empty batch admits a prompt of any size, so that an oversized prompt does not block the
    /// queue forever.
    fn start_next_prefill(&mut self, now: Timestamp) {
        if self.prefilling.is_some() || self.running() >= self.slots * BATCH_SLOTS_FACTOR {
            return;
        }
        let Some((_, next)) = self.waiting.first_key_value() else {
            return;
        };
        if self.running() > 0 && self.batch_prompt_tokens() + next.prompt_tokens > KV_CACHE_TOKENS {
            return;
        }
        let Some((_, job)) = self.waiting.pop_first() else {
            return;
        };
        let cached = self.cache.touch(job.conversation);
        let tokens = job.prompt_tokens - cached.min(job.prefix_tokens);
        let seconds = f64::from(tokens) / PREFILL_TOKENS_PER_S * f64::from(self.slow_factor);
        let due = now + Duration::from_secs_f64(seconds);
        self.prefilling = Some((job, tokens, due));
    }

    /// Time in which the batch generates one frame per request.
    fn frame_time(&self) -> Duration {
        let batch = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let slots = u32::try_from(self.slots).unwrap_or(1);
        let decode_step =
            DECODE_STEP_EMPTY + DECODE_STEP_FULL.saturating_sub(DECODE_STEP_EMPTY) * batch / slots;
        decode_step * FRAME_TOKENS * self.slow_factor
    }

    /// Time of the next prefill or frame to complete.
    pub(crate) fn next_due(&self) -> Option<Timestamp> {
        let prefill = self.prefilling.as_ref().map(|(_, _, due)| *due);
        match (prefill, self.frame_due) {
            (Some(prefill), Some(frame)) => Some(prefill.min(frame)),
            (prefill, frame) => prefill.or(frame),
        }
    }

    /// Completes the prefill and the frame that are due, and returns their output.
    pub(crate) fn advance(&mut self, now: Timestamp) -> Vec<EngineOutput> {
        let mut outputs = Vec::new();
        if self
            .prefilling
            .as_ref()
            .is_some_and(|(_, _, due)| *due <= now)
        {
            self.complete_prefill(now, &mut outputs);
        }
        if self.frame_due.is_some_and(|due| due <= now) {
            self.complete_frame(now, &mut outputs);
        }
        outputs
    }

    fn complete_prefill(&mut self, now: Timestamp, outputs: &mut Vec<EngineOutput>) {
        let Some((mut job, tokens, _)) = self.prefilling.take() else {
            return;
        };
        self.cache
            .put(job.conversation, job.prefix_tokens, KV_CACHE_TOKENS);
        outputs.push(EngineOutput::Prefilled {
            request: job.request,
            tokens,
        });
        let last = emit_frame(&mut job, 1, outputs);
        if !last {
            self.running.push(job);
        }
        if self.frame_due.is_none() && !self.running.is_empty() {
            self.frame_due = Some(now + self.frame_time());
        }
        self.start_next_prefill(now);
    }

    fn complete_frame(&mut self, now: Timestamp, outputs: &mut Vec<EngineOutput>) {
        for mut job in std::mem::take(&mut self.running) {
            let last = emit_frame(&mut job, FRAME_TOKENS, outputs);
            if !last {
                self.running.push(job);
            }
        }
        self.frame_due = (!self.running.is_empty()).then(|| now + self.frame_time());
        self.start_next_prefill(now);
    }

    /// Removes an attempt, whether it is waiting or in the batch.
    pub(crate) fn cancel(&mut self, now: Timestamp, request: RequestId, attempt: Attempt) {
        let is_target = |job: &EngineJob| job.request == request && job.attempt == attempt;
        self.waiting.retain(|_, job| !is_target(job));
        self.running.retain(|job| !is_target(job));
        if self
            .prefilling
            .as_ref()
            .is_some_and(|(job, ..)| is_target(job))
        {
            self.prefilling = None;
        }
        if self.running.is_empty() {
            self.frame_due = None;
        }
        self.start_next_prefill(now);
    }

    /// Takes the engine down, clears its prefix cache and returns the requests that were lost.
    pub(crate) fn crash(&mut self) -> Vec<EngineJob> {
        let mut lost: Vec<EngineJob> = std::mem::take(&mut self.running);
        lost.extend(std::mem::take(&mut self.waiting).into_values());
        lost.extend(self.prefilling.take().map(|(job, ..)| job));
        self.frame_due = None;
        self.cache = PrefixCache::default();
        self.incarnation += 1;
        self.down = true;
        lost
    }
}

/// Emits one frame of at most `tokens` tokens and returns whether the request is complete.
fn emit_frame(job: &mut EngineJob, tokens: u32, outputs: &mut Vec<EngineOutput>) -> bool {
    let tokens = tokens.min(job.remaining);
    job.remaining -= tokens;
    let last = job.remaining == 0;
    outputs.push(EngineOutput::Frame {
        job: job.clone(),
        tokens,
        last,
    });
    job.next_seq += 1;
    last
}
