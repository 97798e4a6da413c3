package org.mustardlink.exercise;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;

/**
 * Finds free ports for processes that are restarted at the same address.
 *
 * <p>The ports are outside the ephemeral range of the system. A port of that range could be taken by an outgoing
 * connection before the process has restarted.
 */
public final class FreePorts {
    /** Above the ports of common services; the range ends below the usual ephemeral ports, 32,768 and up. */
    private static final int FIRST_PORT = 12_000;

    private static final int PORT_COUNT = 20_000;
    private static final int MAX_TRIES = 100;

    private FreePorts() {}

    /**
     * Returns a port of the loopback address on which no process listens.
     *
     * @throws CodedException with {@link ErrorCode#INTERNAL} if no free port is found
     */
    public static int findPort() {
        for (int tries = 0; tries < MAX_TRIES; tries++) {
            int port = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORT_COUNT);
            if (isFree(port)) {
                return port;
            }
        }
        throw new CodedException(ErrorCode.INTERNAL, "found no free port in " + MAX_TRIES + " tries");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (BindException e) {
            // Another process listens on this port; the caller tries another one.
            return false;
        } catch (IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot check whether a port is free", e);
        }
    }
}
