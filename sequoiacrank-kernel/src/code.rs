//! Numbered result codes: what went wrong, whether the request ran, and what to do about it.

use std::fmt;

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Run {
    /// No stage of the request was dispatched to any endpoint.
    No,
    /// At least one stage ran.
    Yes,
    /// It is unknown whether a stage ran.
    Unknown,
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Run::No => "no",
            Run::Yes => "yes",
            Run::Unknown => "unknown",
        })
    }
}

macro_rules! codes {
    ($($variant:ident = $number:literal, $status:literal, $title:literal, $advice:literal;)+) => {
        /// A numbered result code. Numbers are never reused for another meaning.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Code {
            $(#[doc = $title] $variant = $number,)+
        }

        impl Code {
            /// All codes in the order of their numbers.
            pub const ALL: &'static [Code] = &[$(Code::$variant),+];

            /// HTTP status of an answer with this code.
            pub fn status(self) -> u16 {
                match self { $(Code::$variant => $status,)+ }
            }

            /// Description in one line.
            pub fn title(self) -> &'static str {
                match self { $(Code::$variant => $title,)+ }
            }

            /// Advice to the caller or operator.
            pub fn advice(self) -> &'static str {
                match self { $(Code::$variant => $advice,)+ }
            }
        }
    };
}

codes! {
    BadRequest = 1001, 400, "The request can't be read", "Correct the request as the detail says.";
    NoKey = 1002, 401, "The bearer key is missing or unknown", "Send a key of a declared workspace.";
    NoRoute = 1003, 403, "No route leads this workspace to the pipeline", "Declare a route or use another key.";
    NoPipeline = 1004, 404, "The pipeline is not declared", "Check the name against the configuration.";
    NoRequest = 1005, 404, "The request is not known on any host", "Its outcome is kept for a limited time; send a new request.";
    TooLarge = 1006, 413, "The head or body is over the limit", "Send less.";
    NeedKey = 1007, 400, "The pipeline has a stage that may not be repeated and needs an Idempotency-Key", "Send a fresh UUIDv7 as Idempotency-Key, and the same one with each repeat.";
    KeyReused = 1008, 422, "The Idempotency-Key was used for another request", "Use a fresh key.";
    KeyExpired = 1009, 409, "The Idempotency-Key is older than outcomes are kept", "Find out by other means whether the first call ran, then use a fresh key.";
    KeyPending = 1010, 409, "A call with this Idempotency-Key is running or its outcome is not known", "Repeat later with the same key; never with a fresh one.";
    KeyFuture = 1011, 400, "The time in the Idempotency-Key lies in the future", "Correct the clock that makes the keys.";
    NoMatch = 1012, 404, "No route matches the host name and path", "Check both against the configuration.";
    BodyLate = 1013, 408, "The body did not arrive in time", "Send it again.";
    TooSlow = 2001, 503, "The deadline can't be met, so the request was not started", "Come back after retry_after_ms or allow more time.";
    QueueFull = 2002, 503, "Too much work waits already", "Come back after retry_after_ms.";
    Deadline = 2003, 504, "The deadline passed", "Repeat it if it may be repeated.";
    NotReady = 2004, 503, "The host has no configuration yet or is leaving", "Send it to another host.";
    NoEndpoint = 2005, 503, "No endpoint of the service is in service", "Bring endpoints or an availability zone back.";
    LogDown = 2006, 503, "The platform's log can't confirm the claim in time", "Repeat with the same key after retry_after_ms.";
    Crashing = 2007, 422, "Endpoints crashed while they ran this request", "Change the request before sending it again.";
    Suspect = 2008, 503, "Endpoints crashed while they ran this request", "Change the request before sending it again.";
    StageFailed = 3001, 502, "A stage failed and can't be retried", "See the detail; repeat if it may be repeated.";
    BadAnswer = 3002, 502, "An endpoint's answer was malformed, cut short or for another request", "Check the endpoint.";
    Cancelled = 3003, 499, "The caller went away", "None.";
    OutcomeLost = 3004, 502, "A call that may not be repeated was dispatched and its outcome is not known", "Find out by other means whether it ran.";
    Conflict = 4001, 412, "The configuration changed since the base revision", "Read it anew, merge and apply again.";
    BadDocument = 4002, 422, "The configuration does not check", "Correct the errors listed.";
    ApplyUnknown = 4003, 504, "It is not known yet whether the configuration was accepted", "Read the configuration back before applying again.";
    BadSettings = 4004, 400, "The settings do not check", "Correct the errors listed.";
    Syntax = 4101, 400, "Text is not JSON with comments", "Correct the syntax.";
    UnknownField = 4102, 400, "A field is not known here", "Remove it or correct its name.";
    MissingField = 4103, 400, "A field is missing", "Add it.";
    WrongType = 4104, 400, "A value has the wrong type or form", "Give what was expected.";
    UnknownName = 4105, 400, "A name is not declared", "Declare it or correct the reference.";
    Duplicate = 4106, 400, "A name is declared twice", "Keep one.";
    OutOfRange = 4107, 400, "A value is out of range", "Give a value in the range.";
    Cycle = 4108, 400, "Declarations refer to each other in a cycle", "Break the cycle.";
}

impl Code {
    /// Number of the code, as in answers and logs.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns the code with this number, if there is one.
    pub fn from_number(number: u16) -> Option<Code> {
        Code::ALL.iter().copied().find(|code| code.number() == number)
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.number(), self.title())
    }
}
