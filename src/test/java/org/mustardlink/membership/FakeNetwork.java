package org.mustardlink.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/** Carries the actions of several tables to each other in simulated time, with switchable faults. */
final class FakeNetwork {
    private static final long LATENCY = Duration.ofMillis(2).toNanos();
    private static final long STEP = Duration.ofMillis(50).toNanos();

    private final MembershipSettings settings = MembershipSettings.defaults();
    private final Map<String, Node> nodes = new TreeMap<>();
    private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>();
    private final Map<Long, Pending> pending = new HashMap<>();
    private final Random random;
    private BiPredicate<Node, Node> carries = (_from, _to) -> true;
    private double loss;
    private long now;
    private long sequence;

    FakeNetwork(long seed) {
        random = new Random(seed);
    }

    /** How a node is. */
    enum Mode {
        RUNNING,
        FROZEN,
        KILLED,
        UNPLUGGED
    }

    static final class Node {
        final String domain;
        final String address;
        final Member first;
        final List<MembershipEvent> inbox = new ArrayList<>();
        final List<MembershipAction> log = new ArrayList<>();
        MembershipTable table;
        Mode mode = Mode.RUNNING;

        private Node(Member first, MembershipTable table) {
            this.first = first;
            domain = first.domain();
            address = first.peer();
            this.table = table;
        }

        boolean runs() {
            return mode == Mode.RUNNING;
        }

        void freeze() {
            mode = runs() ? Mode.FROZEN : mode;
        }

        void thaw() {
            mode = mode == Mode.FROZEN ? Mode.RUNNING : mode;
        }
    }

    private record Delivery(long at, long order, Runnable body) implements Comparable<Delivery> {
        @Override
        public int compareTo(Delivery other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** Starts a process; one that runs under the same id or address is killed first. */
    Node start(String id, String domain, String address, long incarnation, String... seeds) {
        Member member = Member.started(id, domain, "litoral", address, address, incarnation);
        Node node = new Node(member, MembershipTable.create(member, settings, random.nextLong(), now));
        node.inbox.add(new MembershipEvent.Seeded(ImmutableSet.copyOf(seeds)));
        nodes.values().removeIf(old -> old.address.equals(address));
        nodes.put(id, node);
        return node;
    }

    Node node(String id) {
        return nodes.get(id);
    }

    ImmutableList<Node> nodes() {
        return ImmutableList.copyOf(nodes.values());
    }

    void tell(String id, MembershipEvent event) {
        node(id).inbox.add(event);
    }

    /** Sets which messages arrive; a reply travels from the called node to the caller. */
    void link(BiPredicate<Node, Node> arrives) {
        carries = arrives;
    }

    void lose(double share) {
        loss = share;
    }

    MemberState state(String viewer, String subject) {
        return view(viewer).hosts().get(subject).member().state();
    }

    MembershipView view(String viewer) {
        return node(viewer).table.view(now);
    }

    void run(Duration time) {
        for (long end = now + time.toNanos(); now < end; now += STEP) {
            while (!deliveries.isEmpty() && deliveries.peek().at() <= now) {
                deliveries.poll().body().run();
            }
            nodes().forEach(this::tick);
        }
    }

    private void tick(Node node) {
        if (!node.runs() || (node.inbox.isEmpty() && node.table.nextDue() > now)) {
            return;
        }
        List<MembershipEvent> events = List.copyOf(node.inbox);
        node.inbox.clear();
        for (MembershipAction action : node.table.tick(events, now)) {
            node.log.add(action);
            execute(node, action);
        }
    }

    private void execute(Node node, MembershipAction action) {
        if (action instanceof MembershipAction.SendExchange send) {
            call(node, send.address(), send.call(), token -> new MembershipEvent.Asked(token, send.message()));
        } else if (action instanceof MembershipAction.SendCheck check) {
            Member subject = check.subject();
            call(
                    node,
                    check.address(),
                    check.call(),
                    token ->
                            new MembershipEvent.CheckAsked(token, subject.id(), subject.incarnation(), subject.peer()));
        } else if (action instanceof MembershipAction.Reply reply) {
            reply(node, reply.token(), call -> new MembershipEvent.Answered(call, reply.message()));
        } else if (action instanceof MembershipAction.ReplyCheck reply) {
            reply(node, reply.token(), call -> new MembershipEvent.CheckAnswered(call, reply.result()));
        }
    }

    private record Pending(Node caller, long call) {}

    private interface Numbered {
        MembershipEvent apply(long number);
    }

    private void call(Node caller, String address, long call, Numbered request) {
        Node called = nodes().stream()
                .filter(node -> node.address.equals(address))
                .findFirst()
                .orElse(null);
        long token = ++sequence;
        pending.put(token, new Pending(caller, call));
        after(settings.callTimeout().toNanos() * 3 / 2, () -> fail(token, CheckResult.SILENT));
        if (called == null || !arrives(caller, called)) {
            return;
        }
        if (called.mode == Mode.KILLED && carries.test(called, caller)) {
            after(LATENCY, () -> fail(token, CheckResult.REFUSED));
        } else if (called.mode != Mode.UNPLUGGED) {
            after(LATENCY, () -> called.inbox.add(request.apply(token)));
        }
    }

    private void reply(Node called, long token, Numbered answer) {
        Pending asked = pending.get(token);
        if (asked != null && arrives(called, asked.caller())) {
            after(LATENCY, () -> {
                if (pending.remove(token) != null) {
                    asked.caller().inbox.add(answer.apply(asked.call()));
                }
            });
        }
    }

    private void fail(long token, CheckResult result) {
        Pending asked = pending.remove(token);
        if (asked != null) {
            asked.caller().inbox.add(new MembershipEvent.CallFailed(asked.call(), result));
        }
    }

    private boolean arrives(Node from, Node to) {
        return carries.test(from, to) && random.nextDouble() >= loss;
    }

    private void after(long delay, Runnable body) {
        deliveries.add(new Delivery(now + delay, ++sequence, body));
    }
}
