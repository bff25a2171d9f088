import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins for a small deployment on loopback, as PROTOCOL.md and DEPLOY.md describe it: the
 * platform's store, runners, clients, and nodes that run as separate processes.
 */
final class Lab implements AutoCloseable {

  static final long START = System.nanoTime();

  final PrintWriter record;
  final Path temp;
  final Store store;
  final List<Node> nodes = new CopyOnWriteArrayList<>();
  final List<Runner> runners = new CopyOnWriteArrayList<>();

  Lab(Path recordFile, long keepSeconds) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(recordFile));
    temp = Files.createTempDirectory("review");
    store = new Store(keepSeconds);
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  /** A script: returns whether the rule was broken. */
  interface Script {
    boolean breaksRule(Lab lab, boolean trouble) throws Exception;
  }

  /**
   * Plays a script and ends the process: with 1 if the rule was broken, 0 if it held, and 2 if the
   * script could not run.
   *
   * @param args the folder of the case
   */
  static void play(String[] args, long keepSeconds, Script script) throws IOException {
    int result = 2;
    Lab lab = new Lab(Path.of(args[0], "record.txt"), keepSeconds);
    try (lab) {
      Thread.ofVirtual().start(() -> {
        sleep(112_000);
        lab.note("COULD NOT RUN: the script takes too long");
        lab.nodes.stream().filter(each -> each.process != null).forEach(each -> each.process.destroyForcibly());
        lab.deleteTemp();
        Runtime.getRuntime().halt(2);
      });
      boolean trouble = !"0".equals(System.getenv("TROUBLE"));
      lab.note(trouble ? "with the disruption" : "without the disruption");
      boolean broken = script.breaksRule(lab, trouble);
      lab.note(broken ? "BROKEN" : "HELD");
      result = broken ? 1 : 0;
    } catch (Exception failure) {
      lab.note("COULD NOT RUN: %s", failure);
    }
    Runtime.getRuntime().halt(result);
  }

  /** Starts nodes and waits until they are ready and have found each other. */
  void startNodes(int count) throws IOException {
    for (int i = 1; i <= count; i++) {
      new Node("n" + i);
    }
    restartNodes();
    sleep(5_000);
  }

  /** Starts all nodes at once and waits until they are ready. */
  void restartNodes() throws IOException {
    for (Node node : nodes) {
      node.start();
    }
    for (Node node : nodes) {
      if (!node.awaitReady(20_000)) {
        throw new IOException("node " + node.name + " did not become ready");
      }
    }
    note("all machines are ready");
  }

  /** Kills all nodes. */
  void killNodes() {
    for (Node node : nodes) {
      note("SIGKILL to node %s", node.name);
      node.kill();
    }
  }

  static double seconds() {
    return (System.nanoTime() - START) / 1e9;
  }

  void note(String format, Object... values) {
    String line = String.format(Locale.ROOT, "%8.3f  ", seconds()) + String.format(Locale.ROOT, format, values);
    synchronized (record) {
      record.println(line);
      record.flush();
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException(interrupted);
    }
  }

  @Override
  public void close() {
    nodes.forEach(Node::kill);
    runners.forEach(Runner::stop);
    store.server.close();
    record.flush();
    deleteTemp();
  }

  private void deleteTemp() {
    try (var files = Files.walk(temp)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(each -> each.toFile().delete());
    } catch (IOException gone) {
      // The folder is already deleted.
    }
  }

  // HTTP

  /** A message: the words of its first line, its fields by name in lower case, and its body. */
  record Message(String[] line, Map<String, String> fields, byte[] body) {
    String field(String name, String otherwise) {
      return fields.getOrDefault(name.toLowerCase(Locale.ROOT), otherwise);
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int each = in.read(); each != '\n'; each = in.read()) {
      if (each < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("cut inside a line");
      }
      line.write(each);
    }
    String text = line.toString(ISO_8859_1);
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }

  /** Reads a message; null if the channel ended before one. An incomplete body is an EOFException. */
  static Message read(InputStream in, boolean answer) throws IOException {
    String first = readLine(in);
    if (first == null) {
      return null;
    }
    Map<String, String> fields = new LinkedHashMap<>();
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    byte[] body;
    if ("chunked".equalsIgnoreCase(fields.get("transfer-encoding"))) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      while (true) {
        String size = readLine(in);
        if (size == null) {
          throw new EOFException("cut between chunks");
        }
        int length = Integer.parseInt(size.trim(), 16);
        byte[] chunk = in.readNBytes(length);
        if (chunk.length < length || readLine(in) == null) {
          throw new EOFException("cut inside a chunk");
        }
        if (length == 0) {
          break;
        }
        all.write(chunk);
      }
      body = all.toByteArray();
    } else if (fields.containsKey("content-length")) {
      int length = Integer.parseInt(fields.get("content-length"));
      body = in.readNBytes(length);
      if (body.length < length) {
        throw new EOFException("cut inside the body");
      }
    } else {
      body = answer ? in.readAllBytes() : new byte[0];
    }
    return new Message(first.split(" ", 3), fields, body);
  }

  static byte[] answer(int status, Map<String, String> fields, byte[] body) {
    StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " x\r\n");
    fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    byte[] start = head.toString().getBytes(ISO_8859_1);
    byte[] all = Arrays.copyOf(start, start.length + body.length);
    System.arraycopy(body, 0, all, start.length, body.length);
    return all;
  }

  interface Handler {
    /** Handles a request; returns the answer's bytes, or null if it has written or ended itself. */
    byte[] handle(Message request, Socket socket) throws IOException;
  }

  /** A server on loopback that handles each channel on a thread of its own. */
  static final class Server {
    final ServerSocket listener;
    final Set<Socket> channels = ConcurrentHashMap.newKeySet();
    volatile boolean closed;

    Server(Handler handler) throws IOException {
      listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
      Thread.ofVirtual().start(() -> accept(handler));
    }

    String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept(Handler handler) {
      while (!closed) {
        try {
          Socket socket = listener.accept();
          socket.setTcpNoDelay(true);
          channels.add(socket);
          Thread.ofVirtual().start(() -> serve(socket, handler));
        } catch (IOException ended) {
          return;
        }
      }
    }

    private void serve(Socket socket, Handler handler) {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
        for (Message each = read(in, false); each != null; each = read(in, false)) {
          byte[] answer = handler.handle(each, socket);
          if (answer != null) {
            socket.getOutputStream().write(answer);
          }
          if (socket.isClosed()) {
            return;
          }
        }
      } catch (IOException ended) {
        // The other side has closed the channel.
      } finally {
        channels.remove(socket);
      }
    }

    void close() {
      closed = true;
      try {
        listener.close();
        for (Socket each : channels) {
          each.close();
        }
      } catch (IOException ignored) {
        // Nothing is left to close.
      }
    }
  }

  static String query(String target, String name, String otherwise) {
    Matcher found = Pattern.compile("[?&]" + name + "=([^&]*)").matcher(target);
    return found.find() ? found.group(1) : otherwise;
  }

  // Store

  /** The platform's store: topics with one partition, of which records expire after some time. */
  static final class Store {
    private final Map<String, Topic> topics = new TreeMap<>();
    private final long keepNanos;
    final Server server;
    volatile long calls;

    Store(long keepSeconds) throws IOException {
      keepNanos = keepSeconds * 1_000_000_000L;
      server = new Server(this::handle);
    }

    private static final class Topic {
      final List<byte[]> records = new ArrayList<>();
      final List<Long> times = new ArrayList<>();
      final TreeMap<String, Object[]> newest = new TreeMap<>();
      long first;

      long end() {
        return first + records.size();
      }
    }

    private Topic topic(String name) {
      Topic topic = topics.computeIfAbsent(name, key -> new Topic());
      while (!topic.times.isEmpty() && System.nanoTime() - topic.times.getFirst() > keepNanos) {
        topic.times.removeFirst();
        topic.records.removeFirst();
        topic.first++;
      }
      return topic;
    }

    synchronized long end(String name) {
      return topic(name).end();
    }

    synchronized long first(String name) {
      return topic(name).first;
    }

    synchronized void put(String name, String key, String value) {
      byte[] keyBytes = key.getBytes(UTF_8);
      ByteArrayOutputStream content = new ByteArrayOutputStream();
      content.write(keyBytes.length);
      content.writeBytes(keyBytes);
      content.writeBytes(value.getBytes(UTF_8));
      append(name, content.toByteArray());
    }

    private void append(String name, byte[] content) {
      Topic topic = topic(name);
      if (name.startsWith("keyed.")) {
        int length = Byte.toUnsignedInt(content[0]);
        String key = new String(content, 1, length, UTF_8);
        byte[] value = Arrays.copyOfRange(content, 1 + length, content.length);
        if (value.length == 0) {
          topic.newest.remove(key);
        } else {
          topic.newest.put(key, new Object[] {value, topic.end()});
        }
      }
      topic.records.add(content);
      topic.times.add(System.nanoTime());
      notifyAll();
    }

    private synchronized byte[] handle(Message call, Socket socket) {
      calls++;
      String target = call.line()[1];
      String name = query(target, "topic", "");
      String path = target.contains("?") ? target.substring(0, target.indexOf('?')) : target;
      return switch (path) {
        case "/wisteriarail/log-append" -> {
          long at = Long.parseLong(query(target, "at", "-1"));
          if (at >= 0 && at != topic(name).end()) {
            yield json(412, "{\"end_offset\":" + topic(name).end() + "}");
          }
          long offset = topic(name).end();
          ByteBuffer body = ByteBuffer.wrap(call.body());
          while (body.remaining() >= 4) {
            byte[] content = new byte[body.getInt()];
            body.get(content);
            append(name, content);
          }
          yield json(200, "{\"offset\":" + offset + ",\"end_offset\":" + topic(name).end() + "}");
        }
        case "/wisteriarail/log-read" -> {
          long from = Long.parseLong(query(target, "from", "0"));
          long until = System.nanoTime() + Long.parseLong(query(target, "wait_ms", "0")) * 1_000_000;
          while (from >= topic(name).end() && System.nanoTime() < until) {
            try {
              wait(1 + (until - System.nanoTime()) / 1_000_000);
            } catch (InterruptedException interrupted) {
              throw new IllegalStateException(interrupted);
            }
          }
          Topic topic = topic(name);
          if (from < topic.first) {
            yield json(410, "{\"first_offset\":" + topic.first + "}");
          }
          ByteArrayOutputStream out = new ByteArrayOutputStream();
          out.writeBytes(ByteBuffer.allocate(16).putLong(topic.end()).putLong(topic.first).array());
          for (long each = from; each < topic.end() && out.size() < 1_000_000; each++) {
            byte[] content = topic.records.get((int) (each - topic.first));
            out.writeBytes(ByteBuffer.allocate(4).putInt(content.length).array());
            out.writeBytes(content);
          }
          yield Lab.answer(200, Map.of("Content-Type", "application/octet-stream"), out.toByteArray());
        }
        case "/wisteriarail/log-newest" -> {
          String after = query(target, "after", "");
          StringBuilder items = new StringBuilder();
          int count = 0;
          boolean more = false;
          for (var each : topic(name).newest.tailMap(after, false).entrySet()) {
            if (count++ == 500) {
              more = true;
              break;
            }
            items.append(items.isEmpty() ? "" : ",").append("{\"key\":\"").append(each.getKey())
                .append("\",\"value\":\"")
                .append(Base64.getEncoder().encodeToString((byte[]) each.getValue()[0]))
                .append("\",\"offset\":").append(each.getValue()[1]).append("}");
          }
          yield json(200, "{\"items\":[" + items + "],\"has_more\":" + more + ",\"end_offset\":"
              + topic(name).end() + "}");
        }
        default -> json(404, "{}");
      };
    }

    private static byte[] json(int status, String text) {
      return Lab.answer(status, Map.of("Content-Type", "application/json"), text.getBytes(UTF_8));
    }
  }

  // Runners

  /** One run of a request at a runner. */
  record Run(double at, String runner, String id, String method, String target, Message request) {}

  /** The arrival of a request at a runner, also of one that is turned away. */
  record Arrival(long nanos, String id) {}

  final List<Arrival> arrivals = java.util.Collections.synchronizedList(new ArrayList<>());
  final List<Run> runs = new CopyOnWriteArrayList<>();
  /** The arrival of an order at a runner. */
  record OrderArrival(long nanos, String runner, String holder, long fence) {}

  final List<OrderArrival> orderArrivals = new CopyOnWriteArrayList<>();
  boolean fencesEnforced = true;
  final List<String> orders = new CopyOnWriteArrayList<>();

  /** A runner of a service; with models if it is a language model runner. */
  class Runner {
    final String id;
    final String service;
    final int modelRoom;
    final long workMillis;
    final long loadMillis;
    final Server server;
    final TreeSet<String> models = new TreeSet<>();
    final TreeSet<String> onDisk = new TreeSet<>();
    final TreeMap<String, Integer> running = new TreeMap<>();
    final long born = System.currentTimeMillis();
    String state = "ready";
    long fence;
    long sequence;
    long written;
    boolean busy;
    volatile boolean stopped;
    private boolean left;
    volatile RunnerLink link;

    Runner(String id, String service, List<String> loaded, int modelRoom, long loadMillis, long workMillis)
        throws IOException {
      this.id = id;
      this.service = service;
      this.modelRoom = modelRoom;
      this.loadMillis = loadMillis;
      this.workMillis = workMillis;
      models.addAll(loaded);
      onDisk.addAll(loaded);
      server = new Server(this::handle);
      runners.add(this);
      Thread.ofVirtual().start(() -> {
        while (!stopped) {
          write();
          sleep(1200);
        }
      });
    }

    private synchronized String described() {
      StringBuilder list = new StringBuilder();
      for (String each : models) {
        list.append(list.isEmpty() ? "" : ",").append("{\"name\":\"").append(each)
            .append("\",\"version\":1,\"adapters\":[]}");
      }
      String disk = "\"" + String.join("\",\"", onDisk) + "\"";
      return modelRoom == 0 ? "" : "\"available\":{\"in_memory\":[],\"on_disk\":[" + disk + "]},\"stage\":\"prefill_decode\",\"models\":[" + list + "],";
    }

    /** Removes the entry; the runner serves on. */
    synchronized void leave() {
      left = true;
      store.put("keyed.servers", id, "");
    }

    synchronized void write() {
      if (!stopped && !left) {
        store.put("keyed.servers", id, "{\"service\":\"" + service + "\",\"address\":\""
            + (link == null ? server.address() : link.address()) + "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":16,\"state\":\""
            + state + "\",\"cold_remaining_ms\":0," + described() + "\"born\":" + born
            + ",\"sequence\":" + ++written + "}");
      }
    }

    void stop() {
      stopped = true;
      server.close();
    }

    private static byte[] notRun(int status, String request) {
      return Lab.answer(status, Map.of("X-Wisteriarail-Not-Executed", "1",
          "X-Wisteriarail-Request-Id", request), new byte[0]);
    }

    private byte[] handle(Message request, Socket socket) throws IOException {
      String expected = request.field("X-Wisteriarail-Expected-Instance", id);
      if (!expected.equals(id)) {
        return Lab.answer(421, Map.of(), new byte[0]);
      }
      return switch (request.line()[1]) {
        case "/health" -> Lab.answer(200, Map.of("X-Wisteriarail-Instance-Id", id), new byte[0]);
        case "/wisteriarail/report" -> report();
        case "/wisteriarail/order" -> order(new String(request.body(), UTF_8));
        default -> serve(request, socket);
      };
    }

    private synchronized byte[] report() {
      int active = running.values().stream().mapToInt(each -> each).sum();
      return Lab.answer(200, Map.of("Content-Type", "application/json"), ("{" + described()
          + "\"busy\":" + busy + ",\"sequence\":" + sequence + ",\"waiting\":0,\"running_count\":"
          + active + ",\"kv_cache_used\":0,\"kv_cache_total\":90000,\"handles\":0,\"incoming\":[],\"born\":"
          + born + "}").getBytes(UTF_8));
    }

    private static String text(String json, String name) {
      Matcher found = Pattern.compile("\"" + name + "\":\"?([^\",}]*)").matcher(json);
      return found.find() ? found.group(1) : "";
    }

    private synchronized byte[] order(String body) {
      long token = Long.parseLong(text(body, "fencing_token"));
      String model = text(body, "model");
      boolean load = text(body, "operation").equals("model_load");
      int status;
      orderArrivals.add(new OrderArrival(System.nanoTime(), id, text(body, "holder"), token));
      if (fencesEnforced && token < fence) {
        status = 412;
      } else if (busy || (!text(body, "expect").isEmpty() && Long.parseLong(text(body, "expect")) != sequence)) {
        status = 409;
      } else if (load == models.contains(model)) {
        status = 200;
      } else {
        status = 202;
      }
      fence = Math.max(fence, token);
      note("order at %s: %s -> %d", id, body, status);
      orders.add(id + " " + body + " " + status);
      if (status == 202) {
        sequence++;
        if (load && models.size() >= modelRoom) {
          note("FAULT %s has no room for %s", id, model);
        }
        busy = true;
        Thread.ofVirtual().start(() -> carryOut(load, model));
      }
      return Lab.answer(status, Map.of(), new byte[0]);
    }

    private void carryOut(boolean load, String model) {
      if (load) {
        sleep(loadMillis);
      } else {
        synchronized (this) {
          models.remove(model);
        }
        while (running.getOrDefault(model, 0) > 0) {
          sleep(5);
        }
      }
      synchronized (this) {
        if (load) {
          models.add(model);
          onDisk.add(model);
        }
        busy = false;
      }
      write();
    }

    /** Requests at once, running or queued; more are turned away. */
    int places = Integer.MAX_VALUE;
    int slots = Integer.MAX_VALUE;
    private java.util.concurrent.Semaphore free;
    private int present;

    byte[] serve(Message request, Socket socket) throws IOException {
      arrivals.add(new Arrival(System.nanoTime(), request.field("X-Wisteriarail-Request-Id", "")));
      synchronized (this) {
        free = free == null ? new java.util.concurrent.Semaphore(slots) : free;
        if (present >= places) {
          return notRun(503, request.field("X-Wisteriarail-Request-Id", ""));
        }
        present++;
      }
      free.acquireUninterruptibly();
      try {
        return run(request, socket);
      } finally {
        free.release();
        synchronized (this) {
          present--;
        }
      }
    }

    private byte[] run(Message request, Socket socket) throws IOException {
      String request0 = request.field("X-Wisteriarail-Request-Id", "");
      if (request0.isEmpty()) {
        return notRun(400, "");
      }
      String model = request.field("X-Wisteriarail-Model", "");
      synchronized (this) {
        if (modelRoom > 0 && !models.contains(model)) {
          return notRun(421, request0);
        }
        running.merge(model, 1, Integer::sum);
      }
      Run run = new Run(seconds(), id, request0, request.line()[0], request.line()[1], request);
      runs.add(run);
      note("run %s at %s: %s %s, body of %d bytes", request0, id, run.method(), run.target(), request.body().length);
      try {
        sleep(workMillis);
        byte[] body = modelRoom > 0
            ? ("id: 1\ndata: " + request0 + "\n\nid: 2\ndata: end\n\n").getBytes(UTF_8)
            : ("done " + request0).getBytes(UTF_8);
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("X-Wisteriarail-Request-Id", request0);
        fields.put("X-Wisteriarail-Response-Signature", id + "." + request0);
        fields.put("Content-Type", modelRoom > 0 ? "text/event-stream" : "text/plain");
        return Lab.answer(200, fields, body);
      } finally {
        synchronized (this) {
          running.merge(model, -1, Integer::sum);
        }
      }
    }
  }

  /**
   * A proxy before a runner. While a node is cut off, what it sends is held up; it arrives some time
   * after the cut has healed, unless the node has reset the channel meanwhile.
   */
  final class RunnerLink {
    final ServerSocket listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    final Runner to;
    final Set<Node> cut;
    final long resentAfterMillis;

    RunnerLink(Runner to, Set<Node> cut, long resentAfterMillis) throws IOException {
      this.to = to;
      this.cut = cut;
      this.resentAfterMillis = resentAfterMillis;
      Thread.ofVirtual().start(() -> {
        while (true) {
          try {
            Socket from = listener.accept();
            Node sender = sender(from.getPort());
            Thread.ofVirtual().start(() -> join(from, sender));
          } catch (IOException ended) {
            return;
          }
        }
      });
    }

    String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    private boolean isCut(Node sender) {
      return sender != null && cut.contains(sender);
    }

    private void join(Socket from, Node sender) {
      try (from; Socket target = connect("127.0.0.1", to.server.listener.getLocalPort(), 1000)) {
        Thread back = Thread.ofVirtual().start(() -> {
          byte[] buffer = new byte[65536];
          try {
            for (int count = target.getInputStream().read(buffer); count >= 0; count = target.getInputStream().read(buffer)) {
              while (isCut(sender)) {
                sleep(5);
              }
              from.getOutputStream().write(buffer, 0, count);
            }
            from.shutdownOutput();
          } catch (IOException ended) {
            // One side has closed the channel.
          }
        });
        java.util.concurrent.LinkedBlockingQueue<byte[]> received = new java.util.concurrent.LinkedBlockingQueue<>();
        java.util.concurrent.atomic.AtomicBoolean reset = new java.util.concurrent.atomic.AtomicBoolean();
        Thread.ofVirtual().start(() -> {
          byte[] buffer = new byte[65536];
          try {
            for (int count = from.getInputStream().read(buffer); count >= 0; count = from.getInputStream().read(buffer)) {
              received.add(Arrays.copyOf(buffer, count));
            }
          } catch (IOException ended) {
            reset.set(true);
          }
          received.add(new byte[0]);
        });
        boolean late = false;
        for (byte[] each = received.take(); each.length > 0; each = received.take()) {
          if (isCut(sender)) {
            note("held up between %s and %s: %s", sender.name, to.id,
                new String(each, ISO_8859_1).replaceAll("\\s+", " "));
            while (isCut(sender)) {
              sleep(5);
            }
            if (!late && !reset.get()) {
              sleep(resentAfterMillis);
            }
            late = true;
          }
          if (reset.get()) {
            note("lost between %s and %s: the sender has reset the channel", sender.name, to.id);
            return;
          }
          target.getOutputStream().write(each);
        }
        if (late) {
          sleep(50);
        }
        target.shutdownOutput();
        back.join();
      } catch (IOException | InterruptedException ended) {
        // One side has closed the channel.
      }
    }

    /** Returns the node whose process has a socket with the given local port. */
    private Node sender(int port) throws IOException {
      String local = String.format(":%04X", port);
      List<String> lines = new ArrayList<>(Files.readAllLines(Path.of("/proc/net/tcp6")));
      lines.addAll(Files.readAllLines(Path.of("/proc/net/tcp")));
      for (String line : lines) {
        String[] words = line.trim().split("\\s+");
        if (words.length > 9 && words[1].endsWith(local)) {
          for (Node node : nodes) {
            if (node.process != null && hasSocket(node.process.pid(), "socket:[" + words[9] + "]")) {
              return node;
            }
          }
        }
      }
      return null;
    }

    private static boolean hasSocket(long pid, String name) {
      try (var files = Files.list(Path.of("/proc/" + pid + "/fd"))) {
        return files.anyMatch(each -> {
          try {
            return Files.readSymbolicLink(each).toString().equals(name);
          } catch (IOException closed) {
            return false;
          }
        });
      } catch (IOException ended) {
        return false;
      }
    }
  }

  // Nodes

  private static final java.util.concurrent.atomic.AtomicInteger NEXT_PORT =
      new java.util.concurrent.atomic.AtomicInteger(12_000 + (int) (ProcessHandle.current().pid() % 200) * 100);

  /**
   * Returns a free port below those that the system gives to outgoing channels, from a range that
   * scripts which run at the same time do not share.
   */
  static int freePort() throws IOException {
    while (true) {
      try (ServerSocket socket = new ServerSocket(NEXT_PORT.getAndIncrement(), 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (java.net.BindException taken) {
        // The next port is tried.
      }
    }
  }

  /** A node of the system, started with the command of deploy/system.toml. */
  final class Node {
    final String name;
    final int callers = freePort();
    final int ready = freePort();
    final int peers = freePort();
    final int metrics = freePort();
    PeerLink link;
    StoreLink storeLink;
    Process process;

    Node(String name) throws IOException {
      this.name = name;
      nodes.add(this);
    }

    void start() throws IOException {
      StringBuilder seeds = new StringBuilder();
      nodes.stream().limit(3).forEach(each -> seeds.append(seeds.isEmpty() ? "" : ",")
          .append("\"").append(each.link == null ? "127.0.0.1:" + each.peers : each.link.address())
          .append("\""));
      String settings = Files.readString(Path.of("deploy/node.toml"));
      Map<String, String> values = new LinkedHashMap<>();
      values.put("node_name", name);
      values.put("zone", "a");
      values.put("limits.link_mbps", "1000");
      values.put("limits.cpu_share", "0.75");
      values.put("limits.cores", "1");
      values.put("bounds.grace_s", "8");
      values.put("listen.frontend", "127.0.0.1:" + callers);
      values.put("listen.ready", "127.0.0.1:" + ready);
      values.put("listen.control_plane", "127.0.0.1:" + peers);
      values.put("platform.address", storeLink == null ? store.server.address() : storeLink.address());
      values.put("bounds.lease_ms", "3000");
      values.put("bounds.fencing_enforced", Boolean.toString(fencesEnforced));
      values.put("bounds.drain_ms", "2000");
      values.put("bounds.budget_window_s", "10");
      values.put("bounds.retry_budget_ratio", "0.2");
      values.put("bounds.retry_budget_slack", "56");
      for (var each : values.entrySet()) {
        settings = settings.replace("{{" + each.getKey() + "}}", each.getValue());
      }
      settings = settings.replaceAll("seeds = .*", "seeds = [" + seeds + "]")
          .replace("{{ip}}:9464", "127.0.0.1:" + metrics);
      if (link != null) {
        settings = settings.replace("[gateway]", "[gateway]\nannounced = \"" + link.address() + "\"");
      }
      Path file = temp.resolve(name + ".toml");
      Files.writeString(file, settings);
      List<String> command = new ArrayList<>();
      for (String word : Files.readString(Path.of("deploy/system.toml")).lines()
          .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow()
          .replaceFirst("run = \"(.*)\"", "$1").split(" ")) {
        command.add(word.equals("/etc/wisteriarail/node.toml") ? file.toString() : word);
      }
      ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
      process = builder.start();
      note("node %s started, process %d", name, process.pid());
      process.onExit().thenAccept(ended -> note("node %s ended with code %d", name, ended.exitValue()));
    }

    Path log() {
      return temp.resolve(name + ".log");
    }

    boolean isReady() {
      try (Socket socket = connect("127.0.0.1", ready, 500)) {
        socket.setSoTimeout(1000);
        socket.getOutputStream().write(("GET /wisteriarail/readiness HTTP/1.1\r\nHost: n\r\n"
            + "Connection: close\r\n\r\n").getBytes(ISO_8859_1));
        Message answer = read(new BufferedInputStream(socket.getInputStream()), true);
        return answer != null && answer.line()[1].equals("200");
      } catch (IOException notYet) {
        return false;
      }
    }

    boolean awaitReady(long limitMillis) {
      long until = System.nanoTime() + limitMillis * 1_000_000;
      while (!isReady()) {
        if (System.nanoTime() > until) {
          return false;
        }
        sleep(50);
      }
      note("node %s is ready", name);
      return true;
    }

    void kill() {
      if (process != null && process.isAlive()) {
        process.destroyForcibly();
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
          throw new IllegalStateException(interrupted);
        }
      }
    }

    /** Returns the lines of the node's log that contain a text. */
    List<String> logged(String text) throws IOException {
      return Files.readString(log()).lines().filter(line -> line.contains(text)).toList();
    }
  }

  /** A proxy between one node and the store; holds back what is sent while the node is cut off. */
  final class StoreLink {
    volatile boolean cut;
    final ServerSocket listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));

    StoreLink() throws IOException {
      Thread.ofVirtual().start(() -> {
        while (true) {
          try {
            Socket from = listener.accept();
            Thread.ofVirtual().start(() -> join(from));
          } catch (IOException ended) {
            return;
          }
        }
      });
    }

    String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    private void join(Socket from) {
      try (from; Socket target = connect("127.0.0.1", store.server.listener.getLocalPort(), 1000)) {
        Thread back = Thread.ofVirtual().start(() -> copy(target, from));
        copy(from, target);
        back.join();
      } catch (IOException | InterruptedException ended) {
        // One side has closed the channel.
      }
    }

    private void copy(Socket in, Socket out) {
      byte[] buffer = new byte[65536];
      try {
        for (int count = in.getInputStream().read(buffer); count >= 0; count = in.getInputStream().read(buffer)) {
          while (cut) {
            sleep(10);
          }
          out.getOutputStream().write(buffer, 0, count);
        }
      } catch (IOException ended) {
        // One side has closed the channel.
      } finally {
        try {
          in.close();
          out.close();
        } catch (IOException ignored) {
          // Both are closed.
        }
      }
    }
  }

  /** A proxy before a node's address for other nodes; drops what cut nodes send or are sent. */
  final class PeerLink {
    final ServerSocket listener;
    final Node to;
    final Set<Node> cut;

    PeerLink(Node to, Set<Node> cut) throws IOException {
      this.to = to;
      this.cut = cut;
      listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
      Thread.ofVirtual().start(() -> {
        while (true) {
          try {
            Socket from = listener.accept();
            Thread.ofVirtual().start(() -> join(from));
          } catch (IOException ended) {
            return;
          }
        }
      });
    }

    String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    private void join(Socket from) {
      try (from; Socket target = connect("127.0.0.1", to.peers, 1000)) {
        java.io.DataInputStream in = new java.io.DataInputStream(from.getInputStream());
        byte[] first = new byte[in.readInt()];
        in.readFully(first);
        Node sender = sender(first);
        awaitPath(sender);
        target.getOutputStream().write(ByteBuffer.allocate(4 + first.length).putInt(first.length).put(first).array());
        Thread back = Thread.ofVirtual().start(() -> copy(target, from, sender));
        copy(from, target, sender);
        back.join();
      } catch (IOException | InterruptedException ended) {
        // One side has closed the channel.
      }
    }

    private void awaitPath(Node sender) {
      while (sender != to && (cut.contains(to) || cut.contains(sender))) {
        sleep(20);
      }
    }

    /** Copies bytes; while a side is cut off, what arrives is held back. */
    private void copy(Socket in, Socket out, Node sender) {
      byte[] buffer = new byte[65536];
      try {
        for (int count = in.getInputStream().read(buffer); count >= 0; count = in.getInputStream().read(buffer)) {
          awaitPath(sender);
          out.getOutputStream().write(buffer, 0, count);
        }
        out.shutdownOutput();
      } catch (IOException ended) {
        try {
          in.close();
          out.close();
        } catch (IOException ignored) {
          // Both are closed.
        }
      }
    }

    /** Returns the node that sent a frame, which bears its name. */
    private Node sender(byte[] frame) throws IOException {
      byte[] content = Arrays.copyOfRange(frame, 1, frame.length);
      if (frame[0] != 0) {
        content = new java.util.zip.InflaterInputStream(new java.io.ByteArrayInputStream(content),
            new java.util.zip.Inflater(true)).readAllBytes();
      }
      String text = new String(content, ISO_8859_1);
      Matcher name = Pattern.compile("node-[0-9][0-9]").matcher(text);
      if (!name.find(Math.max(0, text.indexOf("from")))) {
        throw new IOException("a frame without its sender");
      }
      return nodes.stream().filter(each -> each.name.equals(name.group())).findFirst().orElseThrow();
    }
  }

  // Clients

  static Socket connect(String host, int port, int timeoutMillis) throws IOException {
    Socket socket = new Socket();
    socket.connect(new InetSocketAddress(host, port), timeoutMillis);
    socket.setTcpNoDelay(true);
    return socket;
  }

  /** What a client saw; the status is 0 if the channel ended or the time limit passed. */
  record Answer(int status, Message message, String detail) {}

  /** Sends a request on a new channel and reads its answer. */
  Answer request(Node node, String method, String host, String target, String id, long limitMillis,
      Map<String, String> fields, byte[] body) {
    try (Socket socket = connect("127.0.0.1", node.callers, 1000)) {
      return request(socket, method, host, target, id, limitMillis, fields, body);
    } catch (IOException failed) {
      note("request %s: %s", id, failed);
      return new Answer(0, null, failed.toString());
    }
  }

  Answer request(Socket socket, String method, String host, String target, String id, long limitMillis,
      Map<String, String> fields, byte[] body) {
    try {
      StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: " + host
          + "\r\nX-Wisteriarail-Request-Id: " + id + "\r\nX-Wisteriarail-Deadline-Ms: " + limitMillis + "\r\n");
      fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
      if (body.length > 0 || method.equals("POST")) {
        head.append("Content-Length: ").append(body.length).append("\r\n");
      }
      head.append("\r\n");
      socket.setSoTimeout((int) limitMillis + 500);
      OutputStream out = socket.getOutputStream();
      out.write(head.toString().getBytes(ISO_8859_1));
      out.write(body);
      out.flush();
      Message answer = read(new BufferedInputStream(socket.getInputStream()), true);
      if (answer == null) {
        note("request %s: the channel was closed without an answer", id);
        return new Answer(0, null, "closed");
      }
      note("request %s: answered %s, %d bytes, retry-after %s, result %s", id, answer.line()[1],
          answer.body().length, answer.field("retry-after", "-"), answer.field("x-result-code", "-"));
      return new Answer(Integer.parseInt(answer.line()[1]), answer, "");
    } catch (IOException failed) {
      note("request %s: %s", id, failed);
      return new Answer(0, null, failed.toString());
    }
  }
}
