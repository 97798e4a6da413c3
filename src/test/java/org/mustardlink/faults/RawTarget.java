package org.mustardlink.faults;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.mustardlink.target.TargetProtocol;

/**
 * A target that accepts every task immediately and sends an answer that no correct target sends. It sends the first one
 * when it has got all tasks of a job, because an invalid answer ends the job and with it the tasks that are on their way.
 */
final class RawTarget {
    private static final int MAX_WAIT_SECONDS = 5;

    private final ServerSocket server;
    private final String answer;
    private final CountDownLatch missingTasks;
    private final Map<String, Integer> starts = new HashMap<>();

    private RawTarget(ServerSocket server, String answer, int taskCount) {
        this.server = server;
        this.answer = answer;
        missingTasks = new CountDownLatch(taskCount);
    }

    static RawTarget start(String answer, int taskCount) throws IOException {
        RawTarget target = new RawTarget(new ServerSocket(0, 100, InetAddress.getLoopbackAddress()), answer, taskCount);
        run(target::accept);
        return target;
    }

    InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    synchronized Map<String, Integer> starts() {
        return Map.copyOf(starts);
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                run(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String requestLine = in.readLine();
            while (requestLine != null) {
                String task = "";
                int length = 0;
                for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                    String[] header = line.split(": ?", 2);
                    if (header[0].equalsIgnoreCase(TargetProtocol.TASK_HEADER)) {
                        task = header[1];
                    } else if (header[0].equalsIgnoreCase("Content-Length")) {
                        length = Integer.parseInt(header[1]);
                    }
                }
                while (length > 0 && in.read() >= 0) {
                    length--;
                }
                if (requestLine.startsWith("POST")) {
                    recordStart(task);
                    boolean _allStarted =
                            Uninterruptibles.awaitUninterruptibly(missingTasks, MAX_WAIT_SECONDS, TimeUnit.SECONDS);
                    socket.getOutputStream().write(answerTo(task).getBytes(StandardCharsets.US_ASCII));
                    if (answer.equals("cut")) {
                        return;
                    }
                }
                requestLine = in.readLine();
            }
        } catch (IOException e) {
            // The entry host has closed the connection, which is expected.
        }
    }

    private synchronized void recordStart(String task) {
        if (starts.merge(task, 1, Integer::sum) == 1) {
            missingTasks.countDown();
        }
    }

    private String answerTo(String task) {
        String foreignTask = task.substring(0, task.lastIndexOf('/')) + "/209";
        return switch (answer) {
            case "foreign" -> response("200 OK", foreignTask, "", "ok", "ok");
            case "not run, foreign" ->
                response("503 Busy", foreignTask, TargetProtocol.NOT_RUN_HEADER + ": busy\r\n", "busy", "busy");
            case "not run, nameless" ->
                response("503 Busy", "", TargetProtocol.NOT_RUN_HEADER + ": busy\r\n", "busy", "busy");
            case "damaged" -> response("200 OK", task, "", "ok", "other");
            case "cut" ->
                response("200 OK", task, "", "a longer body", "a longer body").replace(" body", "");
            case "error" -> response("500 Failed", task, "", "failed", "failed");
            default -> throw new IllegalArgumentException(answer);
        };
    }

    private static String response(String status, String task, String extraHeaders, String body, String digestedBody) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n" + extraHeaders
                + TargetProtocol.TASK_HEADER + ": " + task + "\r\n" + TargetProtocol.DIGEST_HEADER + ": "
                + TargetProtocol.digest(digestedBody) + "\r\n\r\n" + body;
    }

    private static void run(Runnable task) {
        Thread thread = new Thread(task, "raw-target");
        thread.setDaemon(true);
        thread.start();
    }
}
