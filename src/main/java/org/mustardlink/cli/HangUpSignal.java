package org.mustardlink.cli;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.Optional;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;

/**
 * The signal SIGHUP, which ends a process that has no handler for it. The handler can be installed before the action is
 * known; a signal that arrives in between runs the action later. Thread-safe.
 */
final class HangUpSignal {
    private Optional<Runnable> action = Optional.empty();
    private boolean pending;

    private HangUpSignal() {}

    /**
     * Installs a handler for the signal in this process; it replaces an earlier one.
     *
     * @throws CodedException with {@link ErrorCode#INTERNAL} if the Java runtime allows no handler
     */
    static HangUpSignal install() {
        HangUpSignal signal = new HangUpSignal();
        signal.register();
        return signal;
    }

    /**
     * Sets the action that each signal runs. If signals have arrived before, the action runs once for all of them, on the
     * calling thread.
     */
    void onReceived(Runnable newAction) {
        boolean runNow;
        synchronized (this) {
            action = Optional.of(newAction);
            runNow = pending;
            pending = false;
        }
        if (runNow) {
            newAction.run();
        }
    }

    private void receive() {
        Optional<Runnable> current;
        synchronized (this) {
            current = action;
            pending = action.isEmpty();
        }
        current.ifPresent(Runnable::run);
    }

    /** Uses {@code sun.misc.Signal} by reflection, because the compiler warns of every direct use. */
    @SuppressWarnings("ProxyNonConstantType")
    private void register() {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    HangUpSignal.class.getClassLoader(), new Class<?>[] {handler}, new Handler(this));
            Object _previous = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
        } catch (ReflectiveOperationException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot install a handler for SIGHUP", e);
        }
    }

    // A class instead of a lambda, because the first lambda of a process takes time in which a signal would end it.
    private record Handler(HangUpSignal signal) implements InvocationHandler {
        @Override
        public Object invoke(Object proxy, Method method, Object[] arguments) {
            return switch (method.getName()) {
                case "handle" -> {
                    signal.receive();
                    yield null;
                }
                case "hashCode" -> System.identityHashCode(proxy);
                case "equals" -> proxy == arguments[0];
                default -> "handler for SIGHUP";
            };
        }
    }
}
