package org.mustardlink.exercise;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;

/**
 * Finds ports for processes that end and start again at the same address.
 *
 * <p>The ports are outside the range from which the system takes those of outgoing connections; from within it, one of them
 * may take the port before the process is back.
 */
public final class FreePorts {
    /** Above the ports of common services and below the usual range of outgoing connections, 32,768 and up. */
    private static final int FIRST_PORT = 12_000;

    private static final int PORT_COUNT = 20_000;
    private static final int MAX_TRIES = 100;

    private FreePorts() {}

    /**
     * Returns a port of loopback on which nothing listens.
     *
     * @throws CodedException with {@link ErrorCode#INTERNAL} if none is found
     */
    public static int findPort() {
        for (int tries = 0; tries < MAX_TRIES; tries++) {
            int port = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORT_COUNT);
            if (isFree(port)) {
                return port;
            }
        }
        throw new CodedException(ErrorCode.INTERNAL, "no free port after " + MAX_TRIES + " tries");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (BindException e) {
            // Another program listens there; the caller tries another port.
            return false;
        } catch (IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot look for a free port", e);
        }
    }
}
