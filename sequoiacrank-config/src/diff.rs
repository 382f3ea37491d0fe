//! Differences between two plans, one line for each object.

use std::collections;
use std::fmt;

use sequoiacrank_kernel::map;
use sequoiacrank_kernel::plan;

/// How a declared object differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// Only the new plan has it.
    Added,
    /// Both plans have it, with different values.
    Changed,
    /// Only the old plan has it.
    Removed,
}

/// One declared object that differs between two plans.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Line {
    /// Section that declares it.
    pub section: &'static str,
    /// Name of the object; `*` stands for the whole section.
    pub name: String,
    /// How it differs.
    pub change: Change,
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.change {
            Change::Added => '+',
            Change::Changed => '~',
            Change::Removed => '-',
        };
        write!(f, "{sign} {}.{}", self.section, self.name)
    }
}

/// Lists the changes from `old` to `new`, sorted by section and name.
pub fn lines(old: &plan::Plan, new: &plan::Plan) -> Vec<Line> {
    let mut out = Vec::new();
    compare_section("zones", &old.zones, &new.zones, &mut out);
    compare_section("workspaces", &old.workspaces, &new.workspaces, &mut out);
    compare_section("services", &old.services, &new.services, &mut out);
    compare_section("endpoints", &old.endpoints, &new.endpoints, &mut out);
    compare_section("pipelines", &old.pipelines, &new.pipelines, &mut out);
    compare_section("routes", &old.routes, &new.routes, &mut out);
    compare_section("moves", &old.moves, &new.moves, &mut out);
    if old.policies != new.policies {
        out.push(Line { section: "policies", name: "*".into(), change: Change::Changed });
    }
    out.sort();
    out
}

/// Adds a line for each object of one section that differs.
fn compare_section<T>(
    section: &'static str,
    old: &map::FastMap<String, T>,
    new: &map::FastMap<String, T>,
    out: &mut Vec<Line>,
) where
    T: PartialEq,
{
    let names: collections::BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for name in names {
        let change = match (old.get(name), new.get(name)) {
            (None, _) => Change::Added,
            (_, None) => Change::Removed,
            (Some(a), Some(b)) if a != b => Change::Changed,
            _ => continue,
        };
        out.push(Line { section, name: name.clone(), change });
    }
}
