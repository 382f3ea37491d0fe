//! How many endpoints a service needs in each availability zone.
