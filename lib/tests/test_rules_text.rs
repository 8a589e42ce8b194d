//! Parsing of rules texts: the resulting rules, and every error with its position.

use std::time::Duration;

use proptest::prelude::any;
use proptest::strategy::Strategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use test_case::test_case;
use wasabicrank_lib::protocol::MAX_ERRORS;
use wasabicrank_lib::protocol::MAX_LINE_BYTES;
use wasabicrank_lib::protocol::MAX_RULES;
use wasabicrank_lib::protocol::MAX_TEXT_BYTES;
use wasabicrank_lib::protocol::RuleError;
use wasabicrank_lib::protocol::RuleErrorKind;
use wasabicrank_lib::protocol::parse_rules;
use wasabicrank_lib::state::CallPattern;
use wasabicrank_lib::state::CustomerName;
use wasabicrank_lib::state::EngineRole;
use wasabicrank_lib::state::ModelName;
use wasabicrank_lib::state::Priority;
use wasabicrank_lib::state::Rules;
use wasabicrank_lib::state::ServiceName;

/// The example rules of the two users, which operators use as a starting point.
const COTISA: &str = include_str!("../../examples/cotisa.rules");
const ASTREBREIZH: &str = include_str!("../../examples/astrebreizh.rules");

/// Lines in which `TOKEN` and `OTHER` are placeholders for token hashes, and the expected errors.
struct Case {
    lines: &'static [&'static str],
    errors: &'static [&'static str],
}

fn text(lines: &[&str]) -> String {
    let token = format!("blake3:{}", "ab".repeat(32));
    let other = format!("blake3:{}", "cd".repeat(32));
    lines.join("\n").replace("TOKEN", &token).replace("OTHER", &other)
}

fn parse(lines: &[&str]) -> Result<Rules, Vec<RuleError>> {
    parse_rules(7, "r", &text(lines))
}

#[test]
fn test_defaults() {
    let rules = parse(&[
        "customer acme token TOKEN # Jo",
        "model m revision 7 # Jo",
        "service s path /s # Jo",
        "engine * models m # Jo",
    ])
    .unwrap();
    assert_eq!(rules.version, 7);
    let customer = &rules.customers[&CustomerName::new("acme")];
    assert_eq!(customer.token_hash, [0xab; 32]);
    assert_eq!((customer.weight, customer.rate, customer.in_flight), (1, 10_000, 32));
    assert_eq!(customer.priority, Priority::Normal);
    let model = &rules.models[&ModelName::new("m")];
    assert_eq!((model.max_prompt, model.max_output), (1_000_000, 4_096));
    assert_eq!((model.revision.as_str(), model.deadline), ("7", Duration::from_secs(120)));
    assert!(model.adapters.is_empty());
    let service = &rules.services[&ServiceName::new("s")];
    assert_eq!((service.path.as_str(), service.deadline), ("/s", Duration::from_secs(10)));
    assert_eq!(rules.engines[0].role, EngineRole::Any);
}

#[test]
fn test_given_values() {
    let rules = parse(&[
        "# a comment of its own, then a blank line",
        "",
        "\tcustomer acme  rate 20_000/s token TOKEN priority high#Jo, ticket 12\r",
        "limit acme in-flight 64 weight 4 # Sam",
        "repeatable s GET /plans # before its service",
        "service s path /a/b deadline 1500ms # Ann",
        "model m revision v1.2 max-prompt 1200000 max-output 10 deadline 2m adapters x,y # Ann",
        "engine gpu-a1 role short models m # Sam",
        "engine gpu-a* role long models m # Sam",
    ])
    .unwrap();
    let customer = &rules.customers[&CustomerName::new("acme")];
    assert_eq!((customer.weight, customer.rate, customer.in_flight), (4, 20_000, 64));
    assert_eq!(customer.priority, Priority::High);
    let service = &rules.services[&ServiceName::new("s")];
    assert_eq!(service.deadline, Duration::from_millis(1_500));
    assert_eq!(service.repeatable, [CallPattern { method: "GET".into(), path: "/plans".into() }]);
    let model = &rules.models[&ModelName::new("m")];
    assert_eq!((model.adapters.join("+").as_str(), model.deadline.as_secs()), ("x+y", 120));
    assert_eq!(rules.engine("gpu-a1").unwrap().role, EngineRole::Short);
    assert_eq!(rules.engine("gpu-a2").unwrap().role, EngineRole::Long);
    assert!(rules.engine("gpu-b1").is_none());
}

#[test_case(Case {
    lines: &["customer acme token TOKEN", "customer bmce token OTHER #  ", "# nobody"],
    errors: &[
        "r:1:92: found the end of the line, expected `#` and the name of who asked for the rule",
        "r:2:92: found an empty comment, expected `#` and the name of who asked for the rule",
    ],
}; "missing comments")]
#[test_case(Case {
    lines: &["custmer acme token TOKEN # Jo", "tenant acme # Jo"],
    errors: &[
        "r:1:1: found `custmer`, expected `customer`",
        "r:2:1: found `tenant`, expected one of \
         `customer`, `limit`, `model`, `service`, `repeatable`, `engine`",
    ],
}; "unknown kinds")]
#[test_case(Case {
    lines: &["customer acme token TOKEN colour red wieght 4 rate 5/s # Jo"],
    errors: &[
        "r:1:93: found `colour`, expected one of \
         `token`, `weight`, `rate`, `in-flight`, `priority`",
        "r:1:104: found `wieght`, expected `weight`",
    ],
}; "unknown words take their values along")]
#[test_case(Case {
    lines: &["customer # Jo", "model m # Jo", "customer a token # Jo", "limit a # Jo"],
    errors: &[
        "r:1:9: found the end of the rule, expected a name after `customer`",
        "r:2:8: found the end of the rule, expected `revision` and its value",
        "r:3:17: found the end of the rule, expected a value after `token`",
        "r:4:8: found the end of the rule, expected one of \
         `weight`, `rate`, `in-flight`, `priority` and its value",
    ],
}; "missing words")]
#[test_case(Case {
    lines: &["customer acme token weight 4 # Jo"],
    errors: &["r:1:21: found `weight`, expected a value after `token`"],
}; "a word in place of a value")]
#[test_case(Case {
    lines: &[
        "customer a token TOKEN weight 0 rate 0/s in-flight 0 # Jo",
        "customer b token OTHER rate 20000 in-flight 99999999999 priority urgent # Jo",
        "model m revision 7 max-prompt 0 max-output 1k deadline 0s # Jo",
        "model n revision 7 max-prompt -1 max-output _1 deadline 61m # Jo",
        "customer c token blake3:abcd # Jo",
    ],
    errors: &[
        "r:1:97: found `0`, expected a whole number of shares from 1 to 1000",
        "r:1:104: found `0/s`, expected tokens a second from 1/s to 1000000000/s",
        "r:1:118: found `0`, expected a whole number of requests from 1 to 100000",
        "r:2:95: found `20000`, expected tokens a second from 1/s to 1000000000/s",
        "r:2:111: found `99999999999`, expected a whole number of requests from 1 to 100000",
        "r:2:132: found `urgent`, expected `low`, `normal` or `high`",
        "r:3:31: found `0`, expected a whole number of tokens from 1 to 10000000",
        "r:3:44: found `1k`, expected a whole number of tokens from 1 to 1000000",
        "r:3:56: found `0s`, expected a time from 100ms to 60m in `ms`, `s` or `m`",
        "r:4:31: found `-1`, expected a whole number of tokens from 1 to 10000000",
        "r:4:45: found `_1`, expected a whole number of tokens from 1 to 1000000",
        "r:4:57: found `61m`, expected a time from 100ms to 60m in `ms`, `s` or `m`",
        "r:5:18: found `blake3:abcd`, expected `blake3:` and 64 hex digits, \
         as `wasabicrank hash-token` prints them",
    ],
}; "zero limits and bad values")]
#[test_case(Case {
    lines: &[
        "customer a token TOKEN # Jo",
        "customer a token OTHER # Jo",
        "customer b token TOKEN weight 2 weight 3 # Jo",
    ],
    errors: &[
        "r:2:10: found customer `a` a second time, \
         expected one rule for each customer; the first is on line 1",
        "r:3:18: found the token of customer `a`, expected a token of its own",
        "r:3:99: found `weight` a second time, expected each word once",
    ],
}; "duplicates")]
#[test_case(Case {
    lines: &[
        "customer a token TOKEN weight 2 # Jo",
        "limit a weight 3 rate 5/s # Sam",
        "limit a rate 6/s # Ann",
    ],
    errors: &[
        "r:2:9: found `weight` again, expected one value for the customer; line 1 sets it",
        "r:3:9: found `rate` again, expected one value for the customer; line 2 sets it",
    ],
}; "contradicting limits")]
#[test_case(Case {
    lines: &[
        "limit globex weight 3 # Sam",
        "repeatable enrolment GET /plans # Sam",
        "engine * models m,n # Sam",
        "model n revision ? # Sam",
    ],
    errors: &[
        "r:1:7: found unknown customer `globex`, expected a customer that has a `customer` rule",
        "r:2:12: found unknown service `enrolment`, expected a service that has a `service` rule",
        "r:3:17: found unknown model `m`, expected a model that has a `model` rule",
        "r:4:18: found `?`, expected a name of 1 to 64 letters, digits, `-`, `_` or `.`",
    ],
}; "unknown names, and a known one with a mistake")]
#[test_case(Case {
    lines: &[
        "service a path /enrolment # Jo",
        "service b path /enrolment/old # Jo",
        "service c path /enrolment # Jo",
        "service d path /v1/completions # Jo",
        "service e path /v10 # Jo",
        "service f path /enrolments # Jo",
        "service g path / # Jo",
        "service h path /x/../y # Jo",
    ],
    errors: &[
        "r:2:16: found a path in that of another service, `/enrolment`, \
         expected paths apart from each other; the other is on line 1",
        "r:3:16: found a path in that of another service, `/enrolment`, \
         expected paths apart from each other; the other is on line 1",
        "r:4:16: found `/v1/completions`, \
         expected a path outside `/v1`, which entry hosts serve",
        "r:7:16: found `/`, expected a path of up to 200 characters, such as `/enrolment`",
        "r:8:16: found `/x/../y`, expected a path of up to 200 characters, such as `/enrolment`",
    ],
}; "service paths")]
#[test_case(Case {
    lines: &[
        "service s path /s # Jo",
        "repeatable s GET /plans/old # Jo",
        "repeatable s GET /plans # Jo",
        "repeatable s GET /plans # Jo",
        "repeatable s POST /plans # Jo",
        "repeatable s get / # Jo",
        "repeatable s GET # Jo",
        "repeatable s HEAD /plans twice # Jo",
        "repeatable s HEAD / # Jo",
    ],
    errors: &[
        "r:2:18: found `/plans/old`, which `/plans` covers, \
         expected a rule that can take effect beside line 4",
        "r:4:18: found `GET /plans` a second time, \
         expected each call once; the first is on line 3",
        "r:6:14: found `get`, \
         expected one of `GET`, `HEAD`, `POST`, `PUT`, `PATCH`, `DELETE`, `OPTIONS`",
        "r:7:17: found the end of the rule, expected a method and a path, such as `GET /plans`",
        "r:8:19: found `/plans`, which `/` covers, \
         expected a rule that can take effect beside line 9",
        "r:8:26: found `twice`, expected the comment",
    ],
}; "repeatable calls")]
#[test_case(Case {
    lines: &[
        "model m revision 7 # Jo",
        "engine gpu-a* models m # Jo",
        "engine gpu-a1 models m # Jo",
        "engine gpu-ab* models m # Jo",
        "engine gpu-b1 models m # Jo",
        "engine gpu-b1 models m # Jo",
        "engine gpu-b* models m,m role wide # Jo",
        "engine gpu-*c models m # Jo",
        "engine * models m # Jo",
        "engine x # Jo",
    ],
    errors: &[
        "r:3:8: found `gpu-a1`, which `gpu-a*` covers, \
         expected a rule that can take effect beside line 2",
        "r:4:8: found `gpu-ab*`, which `gpu-a*` covers, \
         expected a rule that can take effect beside line 2",
        "r:6:8: found `gpu-b1`, which `gpu-b1` covers, \
         expected a rule that can take effect beside line 5",
        "r:7:24: found `m` a second time, expected each name once",
        "r:7:31: found `wide`, expected `any`, `short` or `long`",
        "r:8:8: found `gpu-*c`, expected an engine's name, or the start of one and `*`",
        "r:10:8: found `x`, which `*` covers, expected a rule that can take effect beside line 9",
        "r:10:9: found the end of the rule, expected `models` and its value",
    ],
}; "engine patterns")]
#[test_case(Case {
    lines: &["# only comments", "   "],
    errors: &["r:1:1: found no rule, expected at least one rule"],
}; "no rules")]
#[test_case(Case {
    lines: &["modèle é revision 7 # Jo", "model m rêvision 7 revision \u{1b}[2J # Jo"],
    errors: &[
        "r:1:1: found `modèle`, expected `model`",
        "r:2:9: found `rêvision`, expected `revision`",
        "r:2:29: found `\\u{1b}[2J`, \
         expected a name of 1 to 64 letters, digits, `-`, `_` or `.`",
    ],
}; "columns count characters, and control characters are not repeated")]
fn test_refused(case: Case) {
    let errors = parse(case.lines).expect_err("it must be refused");
    let found: Vec<String> = errors.iter().map(|error| error.to_string()).collect();
    assert_eq!(found, case.errors);
}

#[test]
fn test_too_long_texts() {
    let lines = [format!("customer a{} # Jo", " ".repeat(MAX_LINE_BYTES)), String::from("x # y")];
    let errors = parse_rules(1, "r", &lines.join("\n")).unwrap_err();
    let kinds: Vec<RuleErrorKind> = errors.iter().map(|error| error.kind).collect();
    assert_eq!(kinds, [RuleErrorKind::TooMuch, RuleErrorKind::UnknownWord]);

    let errors = parse_rules(1, "r", &" ".repeat(MAX_TEXT_BYTES + 1)).unwrap_err();
    assert_eq!((errors.len(), errors[0].kind), (1, RuleErrorKind::TooMuch));

    let many = "x\n".repeat(MAX_RULES + 1);
    let errors = parse_rules(1, "r", &many).unwrap_err();
    assert_eq!(errors.len(), MAX_ERRORS + 1);
    assert_eq!(errors[MAX_ERRORS].kind, RuleErrorKind::TooMuch);
}

#[test]
fn test_examples_are_good() {
    for (file, text) in [("cotisa.rules", COTISA), ("astrebreizh.rules", ASTREBREIZH)] {
        let rules = parse_rules(1, file, text).unwrap();
        assert_eq!(rules.customers.len(), 10, "{file}");
        assert_eq!(rules.services.len(), 1, "{file}");
    }
    let rules = parse_rules(1, "cotisa.rules", COTISA).unwrap();
    let (_, enrolment, below) = rules.route("/enrolment/elections").unwrap();
    assert!(!enrolment.is_repeatable("POST", below));
    assert!(enrolment.is_repeatable("POST", "/quotes/17?plan=3"));
}

#[test]
fn test_repeatable_paths_that_could_be_read_otherwise() {
    let rules = parse(&["service s path /s # Jo", "repeatable s POST /quotes # Jo"]).unwrap();
    let service = &rules.services[0];
    for path in ["/quotes", "/quotes/7", "/quotes?a=../b"] {
        assert!(service.is_repeatable("POST", path), "{path}");
    }
    for path in ["/quotes/../elections", "/quotes/%2e%2e/elections", "/quotesheet", "/quotes//x"] {
        assert!(!service.is_repeatable("POST", path), "{path}");
    }
    for path in ["/quotes/..;/elections", "/quotes\\..\\elections", "/elections", "", "quotes"] {
        assert!(!service.is_repeatable("POST", path), "{path}");
    }
}

/// Replaces random bytes of a valid text; parsing must return rules or errors whose lines are
/// inside the text.
#[test]
fn test_mutated_rules_never_panic() {
    let edits = proptest::collection::vec((0..COTISA.len(), any::<u8>()), 1..40);
    let texts = edits.prop_map(|edits| {
        let mut bytes = COTISA.as_bytes().to_vec();
        for (at, byte) in edits {
            bytes[at] = byte;
        }
        String::from_utf8_lossy(&bytes).into_owned()
    });
    run_any(&texts, 1_000);
}

#[test]
fn test_random_rules_never_panic() {
    run_any(&proptest::collection::vec(any::<char>(), 0..400).prop_map(String::from_iter), 1_000);
    let words = "customer limit model service repeatable engine token weight rate deadline a b * \
                 models path revision GET / /a /a/b 0 1 5s 7/s # \n # Jo\n";
    let words: Vec<&'static str> = words.split(' ').collect();
    let lists = proptest::collection::vec(proptest::sample::select(words), 0..200);
    run_any(&lists.prop_map(|words| words.join(" ")), 2_000);
}

fn run_any(texts: &impl Strategy<Value = String>, cases: u32) {
    let seed = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(cases), seed);
    runner
        .run(texts, |text| {
            let lines = text.lines().count().max(1);
            for error in parse_rules(1, "r", &text).err().unwrap_or_default() {
                proptest::prop_assert!((1..=lines).contains(&error.position.line), "{}", error);
                proptest::prop_assert_eq!(error.to_string().lines().count(), 1);
            }
            Ok(())
        })
        .expect("every text gives rules or errors");
}
