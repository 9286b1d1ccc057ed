"""Every process is killed right after a server's deregistration was acknowledged; the server serves on for
many seconds, as the pages allow. No machine in touch may send it a request drain_ms after the
acknowledgement."""

import os
import random
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin  # noqa: E402

DOWN_S = 0.5  # from the kill to the start; the pages allow up to a second
SERVES_ON_S = 15.0  # after the acknowledgement: "a little longer (at times many seconds)"
DRAIN_S = standin.BOUNDS["drain_ms"] / 1000
TOUCH_S = standin.BOUNDS["touch_ms"] / 1000


def case(record, trouble):
    fleet = standin.Fleet(record)
    servers, clients = [], None
    try:
        fleet.start(first_start=True)
        operator = standin.Operator(record, fleet.controls)
        if operator.put(standin.configuration(1, "lookup"), 0) != 200:
            raise standin.CannotRun("the first configuration was not taken")
        for number, zone in enumerate(standin.ZONES + standin.ZONES):
            servers.append(standin.Server(record, fleet.controls, "lookup", zone, "server-%d" % (number + 1),
                                          fleet.prefix))
        if not fleet.await_ready(20):
            raise standin.CannotRun("the fleet did not get ready")
        clients = standin.Clients(record, fleet, "town.example", "/a/x", rate=40)
        time.sleep(8 + random.random())
        leaving = servers[0]
        if not any(status == 200 for _, _, status in leaving.arrivals):
            raise standin.CannotRun("the server got no request before it left")
        return leave(record, trouble, fleet, clients, leaving)
    finally:
        if clients:
            clients.stop()
        for server in servers:
            server.end()
        fleet.close()


def leave(record, trouble, fleet, clients, leaving):
    """The server deregisters and serves on; returns the breaks of the rule."""
    leaving.leaving = True
    acknowledged, machine = leaving.deregister()
    if acknowledged is None:
        raise standin.CannotRun("the deregistration was not acknowledged")
    record.say("%s (%s): DELETE acknowledged by %s" % (leaving.name, leaving.id, machine))
    back = acknowledged
    if trouble:
        for each in fleet.machines:
            each.process.kill()
        for each in fleet.machines:
            each.kill()
        record.say("every process was killed %.0f ms after the acknowledgement" % (
            1000 * (record.now() - acknowledged)))
        time.sleep(DOWN_S)
        fleet.start()
        back = record.now()
        record.say("every process was started again")
    # All machines are in touch from touch_ms after the last start, or twice that after a final fault.
    bound = max(acknowledged + DRAIN_S, back + 2 * TOUCH_S + 0.2 if trouble else 0)
    record.say("from %.3f on, no request may reach %s" % (bound, leaving.name))
    time.sleep(max(acknowledged + SERVES_ON_S - record.now(), 0))
    leaving.end()
    record.say("%s ended" % leaving.name)
    time.sleep(1)
    broken, by_machine = [], {}
    for at, try_id, status in leaving.arrivals:
        if status == 421 or try_id not in clients.sent:
            continue
        sent_at, machine = clients.sent[try_id]
        if at > bound and (sent_at > bound or not trouble):
            by_machine[machine.name] = by_machine.get(machine.name, 0) + 1
            broken.append("DRAIN: request %s, sent to %s at %.3f, reached %s at %.3f, %.1f s after the "
                          "acknowledgement" % (try_id, machine.name, sent_at, leaving.name, at,
                                               at - acknowledged))
    after = sum(1 for at, _, status in leaving.arrivals if at > acknowledged and status != 421)
    record.say("%d requests reached %s after the acknowledgement; later than the bound, by machine: %s" % (
        after, leaving.name, sorted(by_machine.items())))
    served = sum(1 for outcome in clients.answers.values() if outcome == 200)
    record.say("%d requests sent, %d answered 200" % (len(clients.sent), served))
    return broken


standin.main(os.path.dirname(os.path.abspath(__file__)), case)
