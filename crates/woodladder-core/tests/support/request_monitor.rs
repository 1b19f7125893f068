//! Checks a request table from outside, by its events and its actions.

use std::collections::BTreeMap;

use woodladder_core::target::request::{RefusalReason, RequestAction, RequestEvent, RequestId};

/// What has happened to one request.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub dispatched: bool,
    pub sent: bool,
    pub streaming: bool,
    pub head: bool,
    pub ended: bool,
}

impl History {
    fn holds_slot(&self) -> bool {
        self.dispatched && !self.streaming && !self.ended
    }
}

#[derive(Clone, Debug, Default)]
pub struct Monitor {
    pub requests: BTreeMap<RequestId, History>,
}

impl Monitor {
    pub fn busy(&self) -> u32 {
        self.count(History::holds_slot)
    }

    pub fn queued(&self) -> u32 {
        self.count(|history| !history.dispatched && !history.ended)
    }

    pub fn streams(&self) -> u32 {
        self.count(|history| history.streaming && !history.ended)
    }

    /// Records an event before the table handles it.
    pub fn record_event(&mut self, event: &RequestEvent) {
        match event {
            RequestEvent::Arrived { id, .. } => {
                self.requests.entry(*id).or_default();
            }
            RequestEvent::AnswerHead { id, streaming } => {
                let history = self.requests.get_mut(id);
                if let Some(history) = history
                    && history.sent
                    && !history.head
                    && !history.ended
                {
                    history.head = true;
                    history.streaming = *streaming;
                }
            }
            _ => {}
        }
    }

    /// Checks an action that the table returned for the event.
    pub fn check(&mut self, event: &RequestEvent, action: &RequestAction) {
        let history = self.requests.get_mut(&action.id());
        let history = history.expect("an action for a request that has arrived");
        assert!(!history.ended, "{action:?} after the final action");
        match action {
            RequestAction::Dispatch(_) => {
                assert!(!history.dispatched, "dispatched twice");
                history.dispatched = true;
            }
            RequestAction::Send(_) => {
                assert!(
                    history.dispatched && !history.sent,
                    "sent twice or before dispatch"
                );
                history.sent = true;
            }
            RequestAction::CloseBackEndConnection(_) => assert!(history.dispatched),
            RequestAction::Refuse { id, refusal } => {
                let by_back_end = matches!(
                    event,
                    RequestEvent::BackEndRefused { id: refused, .. } if refused == id
                );
                assert!(
                    !history.sent || by_back_end,
                    "reported as not run after it was sent"
                );
                assert_eq!(
                    by_back_end && history.sent,
                    refusal.reason() == RefusalReason::BackEndRefused
                );
            }
            RequestAction::Fail { .. } => assert!(history.sent && !history.head),
            RequestAction::ResetCaller { .. } => assert!(history.head),
            RequestAction::Complete(id) => {
                let whole = RequestEvent::AnswerEnd {
                    id: *id,
                    complete: true,
                };
                assert!(
                    history.head && *event == whole,
                    "complete without a whole answer"
                );
            }
            RequestAction::Forget { may_have_run, .. } => {
                assert_eq!(*may_have_run, history.sent);
            }
        }
        history.ended = action.is_final();
    }

    fn count(&self, wanted: impl Fn(&History) -> bool) -> u32 {
        let count = self.requests.values().filter(|one| wanted(one)).count();
        u32::try_from(count).expect("few requests")
    }
}
