import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** A small HTTP/1.1 server and client on plain sockets, one virtual thread per connection. */
final class Http {

  private Http() {}

  record Request(
      String method, String target, Map<String, String> headers, byte[] body, Socket socket) {
    String path() {
      int query = target.indexOf('?');
      return query < 0 ? target : target.substring(0, query);
    }

    String query(String name, String otherwise) {
      int at = target.indexOf('?');
      if (at >= 0) {
        for (String pair : target.substring(at + 1).split("&")) {
          if (pair.startsWith(name + "=")) {
            return pair.substring(name.length() + 1);
          }
        }
      }
      return otherwise;
    }

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
  }

  interface Handler {
    void handle(Request request, Answer answer) throws Exception;
  }

  /** Writes one answer. */
  static final class Answer {
    private final OutputStream out;
    boolean closeAfter;

    Answer(OutputStream out) {
      this.out = out;
    }

    void send(int status, Map<String, String> headers, byte[] body) throws IOException {
      StringBuilder head = head(status, headers);
      head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
      all.writeBytes(body);
      out.write(all.toByteArray());
      out.flush();
    }

    void json(int status, String json) throws IOException {
      send(
          status,
          Map.of("Content-Type", "application/json"),
          json.getBytes(StandardCharsets.UTF_8));
    }

    void begin(int status, Map<String, String> headers) throws IOException {
      StringBuilder head = head(status, headers);
      head.append("Transfer-Encoding: chunked\r\n\r\n");
      out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    void chunk(String text) throws IOException {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.writeBytes((Integer.toHexString(bytes.length) + "\r\n").getBytes());
      all.writeBytes(bytes);
      all.writeBytes("\r\n".getBytes());
      out.write(all.toByteArray());
      out.flush();
    }

    void end() throws IOException {
      out.write("0\r\n\r\n".getBytes());
      out.flush();
    }

    private static StringBuilder head(int status, Map<String, String> headers) {
      StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
      headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
      return head;
    }
  }

  /** A server; closing it closes its connections. */
  static final class Server implements AutoCloseable {
    private final ServerSocket socket;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    Server(String ip, int port, Handler handler) throws IOException {
      socket = new ServerSocket();
      socket.setReuseAddress(true);
      socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
      Thread.ofVirtual().start(() -> accept(handler));
    }

    private void accept(Handler handler) {
      while (!socket.isClosed()) {
        try {
          Socket client = socket.accept();
          client.setTcpNoDelay(true);
          open.add(client);
          Thread.ofVirtual().start(() -> serve(client, handler));
        } catch (IOException closed) {
          return;
        }
      }
    }

    private void serve(Socket client, Handler handler) {
      try (client) {
        InputStream in = new BufferedInputStream(client.getInputStream(), 64 * 1024);
        while (true) {
          Request request = readRequest(in, client);
          if (request == null) {
            return;
          }
          Answer answer = new Answer(client.getOutputStream());
          handler.handle(request, answer);
          if (answer.closeAfter) {
            return;
          }
        }
      } catch (Exception ended) {
        // The other side is gone, or the handler cut the answer.
      } finally {
        open.remove(client);
      }
    }

    int port() {
      return socket.getLocalPort();
    }

    @Override
    public void close() {
      try {
        socket.close();
        for (Socket each : open) {
          each.close();
        }
      } catch (IOException ignored) {
        // Nothing to close.
      }
    }
  }

  private static Request readRequest(InputStream in, Socket socket) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    String[] parts = first.split(" ");
    Map<String, String> headers = headers(in);
    byte[] body = body(in, headers, false);
    return new Request(parts[0], parts[1], headers, body, socket);
  }

  private static Map<String, String> headers(InputStream in) throws IOException {
    Map<String, String> headers = new LinkedHashMap<>();
    while (true) {
      String text = line(in);
      if (text == null) {
        throw new EOFException("the head breaks off");
      }
      if (text.isEmpty()) {
        return headers;
      }
      int colon = text.indexOf(':');
      headers.put(
          text.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          text.substring(colon + 1).trim());
    }
  }

  private static byte[] body(InputStream in, Map<String, String> headers, boolean untilEnd)
      throws IOException {
    if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      while (true) {
        String size = line(in);
        if (size == null) {
          throw new EOFException("the body breaks off");
        }
        int length = Integer.parseInt(size.trim(), 16);
        if (length == 0) {
          line(in);
          return all.toByteArray();
        }
        all.writeBytes(exactly(in, length));
        line(in);
      }
    }
    String length = headers.get("content-length");
    if (length != null) {
      return exactly(in, Integer.parseInt(length));
    }
    return untilEnd ? in.readAllBytes() : new byte[0];
  }

  static byte[] exactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("the body breaks off");
    }
    return bytes;
  }

  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (true) {
      int next = in.read();
      if (next < 0) {
        if (bytes.size() == 0) {
          return null;
        }
        throw new EOFException("a line breaks off");
      }
      if (next == '\n') {
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      bytes.write(next);
    }
  }

  /**
   * What a client saw.
   *
   * @param status 0 if no status line arrived
   * @param complete whether the whole answer arrived
   */
  record Response(
      int status, Map<String, String> headers, byte[] body, boolean complete, String end) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** A client's connection. */
  static final class Connection implements AutoCloseable {
    private final Socket socket = new Socket();
    private final InputStream in;

    Connection(String ip, int port) throws IOException {
      socket.connect(new InetSocketAddress(ip, port), 1_000);
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request and reads its answer; {@code afterSend} runs once it is written. */
    Response exchange(
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        int timeoutMillis,
        Consumer<Long> afterSend) {
      Map<String, String> answerHeaders = Map.of();
      int status = 0;
      ByteArrayOutputStream answer = new ByteArrayOutputStream();
      try {
        socket.setSoTimeout(timeoutMillis);
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        if (body.length > 0 || method.equals("POST")) {
          head.append("Content-Length: " + body.length + "\r\n");
        }
        head.append("\r\n");
        OutputStream out = socket.getOutputStream();
        out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
        afterSend.accept(System.nanoTime());
        String first = line(in);
        if (first == null) {
          return new Response(0, answerHeaders, new byte[0], false, "closed without an answer");
        }
        status = Integer.parseInt(first.split(" ")[1]);
        answerHeaders = headers(in);
        answer.writeBytes(body(in, answerHeaders, true));
        return new Response(status, answerHeaders, answer.toByteArray(), true, "complete");
      } catch (IOException cut) {
        return new Response(status, answerHeaders, answer.toByteArray(), false, cut.toString());
      }
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (IOException ignored) {
        // Nothing to close.
      }
    }
  }
}
