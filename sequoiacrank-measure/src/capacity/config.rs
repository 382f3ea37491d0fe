//! Time to check a configuration record and put it in force, by the size of the document.

use std::sync;

use sequoiacrank_config::declare;
use sequoiacrank_kernel::agree;
use sequoiacrank_kernel::log;
use sequoiacrank_kernel::traffic as kernel;

use crate::capacity;
use crate::capacity::claims;
use crate::capacity::document;
use crate::capacity::probe;
use crate::capacity::traffic;

/// Numbers of workspaces in the documents; the number of endpoints grows in proportion.
const WORKSPACES: [usize; 4] = [38, 150, 600, 2_400];

/// Measures all series of this module.
pub fn run(options: &capacity::Options) -> Vec<capacity::Series> {
    let texts: Vec<_> = WORKSPACES.iter().map(|&size| document::text(&size_of(size))).collect();
    let bytes: Vec<_> = texts.iter().map(String::len).collect();
    let text = |size: usize| texts.iter().find(|text| text.len() == size).cloned();
    vec![
        probe::series("declarations", "bytes", "workspaces", &WORKSPACES, |size| {
            document::text(&size_of(size)).len() as f64
        }),
        probe::series("declarations parsed and checked", "us", "bytes", &bytes, |size| {
            let text = text(size).unwrap_or_default();
            probe::min_time(options.repeats, 1, || drop(declare::parse("-", &text)))
        }),
        probe::series("configuration record folded, with check", "us", "bytes", &bytes, |size| {
            let text = text(size).unwrap_or_default();
            probe::min_time(options.repeats, 1, || read_record(&text))
        }),
        probe::series("plan put in force on traffic", "us", "workspaces", &WORKSPACES, |size| {
            let plan = document::plan(&size_of(size));
            let bench = traffic::settled(plan.clone(), 75);
            let mut revision = 1;
            probe::min_time(options.repeats, 1, || {
                revision += 1;
                let next = sequoiacrank_kernel::plan::Plan { revision, ..(*plan).clone() };
                let event = kernel::Event::Plan(sync::Arc::new(next));
                drop(bench.host.handle(bench.now, event));
            })
        }),
    ]
}

fn size_of(workspaces: usize) -> document::Size {
    document::Size { endpoints: workspaces * 7 / 12, workspaces, ..document::Size::default() }
}

/// Creates a host that reads one configuration record.
fn read_record(text: &str) {
    let check: agree::Check = sync::Arc::new(|text: &str| {
        declare::parse("-", text)
            .map(drop)
            .map_err(|problems| format!("{} problems", problems.len()))
    });
    let options = agree::Options { check, ..claims::owner_options() };
    let (mut host, _) = agree::StateMachine::new(options, claims::START);
    let record = log::Record {
        offset: 0,
        at: claims::START,
        writer: log::Writer { host: "host-1".into(), incarnation: 1, sequence: 1 },
        entries: vec![log::Entry::Config { base: 0, document: text.into(), renewed: None }],
    };
    let event = claims::read_event(log::Stream::Config, vec![record], 1);
    drop(host.handle(claims::START, event));
}
