// Package experiment runs scenarios on the model of package proxysim, with several policies and seeds side by
// side, and estimates the figures with their confidence intervals.
//
// A day is one run of a scenario with one policy and one seed. All policies run the same days, so that their
// differences are paired. A result file (Store) has a header and one line a day; an experiment that was
// interrupted goes on with the days that are missing. Plots and reports are made from result files.
//
// PlayAll and Validate run days in parallel. A Store is not safe for concurrent use.
//
// Sources: Student's t for intervals; M. Dahlin, Interpreting Stale Load Information, and queueing theory for
// the results that Validate compares the model with.
package experiment
