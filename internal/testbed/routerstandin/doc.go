// Package routerstandin holds parties that stand in for those around the router fleet, on loopback: model
// servers, application servers, an operator, the platform's entry, and clients. They speak the fleet's
// protocol, take their time by waiting, and write down what they see in one Observations, so that breaks of
// the rules can be counted. They know nothing of how the router works inside.
package routerstandin
