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

/** Delivers the messages of several membership tables to each other in simulated time, with configurable faults. */
final class FakeNetwork {
    private static final long LATENCY_NANOS = Duration.ofMillis(2).toNanos();
    private static final long STEP_NANOS = Duration.ofMillis(50).toNanos();

    private final MembershipSettings settings = MembershipSettings.defaults();
    private final Map<String, Node> nodes = new TreeMap<>();
    private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>();
    private final Map<Long, PendingCall> pending = new HashMap<>();
    private final Random random;
    private BiPredicate<Node, Node> linkFilter = (_from, _to) -> true;
    private double lossRate;
    private long now;
    private long sequence;

    FakeNetwork(long seed) {
        random = new Random(seed);
    }

    /** The operating state of a node. */
    enum Mode {
        RUNNING,
        PAUSED,
        KILLED,
        DISCONNECTED
    }

    static final class Node {
        final String domain;
        final String address;
        final Member initialMember;
        final List<MembershipEvent> inbox = new ArrayList<>();
        final List<MembershipAction> actions = new ArrayList<>();
        MembershipTable table;
        Mode mode = Mode.RUNNING;

        private Node(Member initialMember, MembershipTable table) {
            this.initialMember = initialMember;
            domain = initialMember.domain();
            address = initialMember.peer();
            this.table = table;
        }

        boolean isRunning() {
            return mode == Mode.RUNNING;
        }

        void pause() {
            mode = isRunning() ? Mode.PAUSED : mode;
        }

        void resume() {
            mode = mode == Mode.PAUSED ? Mode.RUNNING : mode;
        }
    }

    private record Delivery(long at, long order, Runnable body) implements Comparable<Delivery> {
        @Override
        public int compareTo(Delivery other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** Starts a process. It replaces the node that had the same id or address. */
    Node start(String id, String domain, String address, long incarnation, String... seeds) {
        Member member = Member.newlyStarted(id, domain, "litoral", address, address, incarnation);
        Node node = new Node(member, MembershipTable.create(member, settings, random.nextLong(), now));
        node.inbox.add(new MembershipEvent.SeedsConfigured(ImmutableSet.copyOf(seeds)));
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

    void enqueueEvent(String id, MembershipEvent event) {
        node(id).inbox.add(event);
    }

    /** Sets the links that carry messages. A reply is a message from the called node to the caller. */
    void setLinkFilter(BiPredicate<Node, Node> filter) {
        linkFilter = filter;
    }

    void setLossRate(double rate) {
        lossRate = rate;
    }

    MemberState state(String viewer, String subject) {
        return view(viewer).hosts().get(subject).member().state();
    }

    MembershipView view(String viewer) {
        return node(viewer).table.view();
    }

    void run(Duration duration) {
        for (long end = now + duration.toNanos(); now < end; now += STEP_NANOS) {
            while (!deliveries.isEmpty() && deliveries.peek().at() <= now) {
                deliveries.poll().body().run();
            }
            nodes().forEach(this::tick);
        }
    }

    private void tick(Node node) {
        if (!node.isRunning() || (node.inbox.isEmpty() && node.table.nextTickTime() > now)) {
            return;
        }
        List<MembershipEvent> events = List.copyOf(node.inbox);
        node.inbox.clear();
        for (MembershipAction action : node.table.tick(events, now)) {
            node.actions.add(action);
            execute(node, action);
        }
    }

    private void execute(Node node, MembershipAction action) {
        if (action instanceof MembershipAction.SendExchange send) {
            call(
                    node,
                    send.address(),
                    send.call(),
                    token -> new MembershipEvent.ExchangeReceived(token, send.message()));
        } else if (action instanceof MembershipAction.SendCheck check) {
            Member subject = check.subject();
            call(
                    node,
                    check.address(),
                    check.call(),
                    token -> new MembershipEvent.CheckRequested(
                            token, subject.id(), subject.incarnation(), subject.peer()));
        } else if (action instanceof MembershipAction.ReplyToExchange reply) {
            reply(node, reply.token(), call -> new MembershipEvent.ExchangeAnswered(call, reply.message()));
        } else if (action instanceof MembershipAction.ReplyToCheck reply) {
            reply(node, reply.token(), call -> new MembershipEvent.CheckAnswered(call, reply.result()));
        }
    }

    private record PendingCall(Node caller, long call) {}

    private interface EventFactory {
        MembershipEvent apply(long number);
    }

    private void call(Node caller, String address, long call, EventFactory request) {
        Node called = nodes().stream()
                .filter(node -> node.address.equals(address))
                .findFirst()
                .orElse(null);
        long token = ++sequence;
        pending.put(token, new PendingCall(caller, call));
        schedule(settings.callTimeout().toNanos() * 3 / 2, () -> failCall(token, CheckResult.SILENT));
        if (called == null || !arrives(caller, called)) {
            return;
        }
        if (called.mode == Mode.KILLED && linkFilter.test(called, caller)) {
            schedule(LATENCY_NANOS, () -> failCall(token, CheckResult.REFUSED));
        } else if (called.mode != Mode.DISCONNECTED) {
            schedule(LATENCY_NANOS, () -> called.inbox.add(request.apply(token)));
        }
    }

    private void reply(Node called, long token, EventFactory answer) {
        PendingCall request = pending.get(token);
        if (request != null && arrives(called, request.caller())) {
            schedule(LATENCY_NANOS, () -> {
                if (pending.remove(token) != null) {
                    request.caller().inbox.add(answer.apply(request.call()));
                }
            });
        }
    }

    private void failCall(long token, CheckResult result) {
        PendingCall request = pending.remove(token);
        if (request != null) {
            request.caller().inbox.add(new MembershipEvent.CallFailed(request.call(), result));
        }
    }

    private boolean arrives(Node from, Node to) {
        return linkFilter.test(from, to) && random.nextDouble() >= lossRate;
    }

    private void schedule(long delayNanos, Runnable body) {
        deliveries.add(new Delivery(now + delayNanos, ++sequence, body));
    }
}
