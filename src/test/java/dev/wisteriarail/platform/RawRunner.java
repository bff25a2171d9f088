package dev.wisteriarail.platform;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A runner on the loopback interface whose responses are written by the test as raw bytes. */
public final class RawRunner implements AutoCloseable {

  /** Connections that may wait to be accepted, for tests with many callers at once. */
  private static final int BACKLOG = 500;

  private final ServerSocket server;

  private RawRunner(ServerSocket server) {
    this.server = server;
  }

  /** Serves one connection, which is closed afterwards. */
  public interface ConnectionHandler {
    /** Reads from the connection and writes to it. */
    void handle(Socket socket) throws IOException, InterruptedException;
  }

  /** Starts a runner that serves any number of connections concurrently. */
  public static RawRunner start(ConnectionHandler talk) throws IOException {
    RawRunner runner =
        new RawRunner(new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()));
    Thread.ofVirtual().start(() -> runner.serveAll(talk));
    return runner;
  }

  private void serveAll(ConnectionHandler talk) {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        Thread.ofVirtual().start(() -> serve(socket, talk));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private static void serve(Socket socket, ConnectionHandler talk) {
    try (socket) {
      talk.handle(socket);
    } catch (IOException closed) {
      // The test has ended, or the node closed the connection.
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns its directory entry as JSON: it is ready and, if it is an engine, has model m0. */
  public String directoryEntry(String service) {
    String models =
        service.equals("engines") ? "{\"name\":\"m0\",\"version\":1,\"adapters\":[]}" : "";
    return String.format(
        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\",\"slots\":4,"
            + "\"state\":\"ready\",\"models\":[%s],\"sequence\":1,\"born\":1}",
        service, port(), models);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Returns a reader of the requests on a connection. */
  public static BufferedReader reader(Socket socket) throws IOException {
    return new BufferedReader(new InputStreamReader(socket.getInputStream(), US_ASCII));
  }

  /** Reads a request head; returns the request's id, or an empty string if there is none. */
  public static String readRequest(BufferedReader in) throws IOException {
    String request = "";
    String line = in.readLine();
    while (line != null && !line.isEmpty()) {
      if (line.startsWith("X-Wisteriarail-Request-Id: ")) {
        request = line.substring(line.indexOf(' ') + 1);
      }
      line = in.readLine();
    }
    return request;
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
