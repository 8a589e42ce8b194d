//! Protocol: wire types, their versions and limits, and their conversion into the core's types.

pub(crate) mod caller_api;
pub(crate) mod engine_api;
pub(crate) mod event_text;
pub(crate) mod event_wire;
pub(crate) mod frame;
pub(crate) mod gateway;
pub(crate) mod operator_api;
pub(crate) mod peer_wire;
pub(crate) mod platform_api;
pub(crate) mod position;
pub(crate) mod rules_reader;
pub(crate) mod rules_text;
pub(crate) mod settings;
pub(crate) mod spelling;
pub(crate) mod token;
pub(crate) mod why;

pub use caller_api::CallerHeaders;
pub use event_text::*;
pub use event_wire::*;
pub use frame::*;
pub use gateway::*;
pub use operator_api::*;
pub use peer_wire::*;
pub use position::*;
pub use rules_reader::RulesReader;
pub use rules_text::MAX_ERRORS;
pub use rules_text::MAX_LINE_BYTES;
pub use rules_text::MAX_RULES;
pub use rules_text::MAX_TEXT_BYTES;
pub use rules_text::RuleError;
pub use rules_text::RuleErrorKind;
pub use rules_text::parse as parse_rules;
pub use settings::*;
pub use token::*;
pub use why::*;
