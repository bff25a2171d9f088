import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's metadata store as PROTOCOL.md describes it, in one partition a topic: records
 * expire after {@code keep_s}, the newest record of each key of a keyed topic is kept.
 */
final class Store implements AutoCloseable {

  private record Entry(byte[] content, long at) {}

  private static final class Topic {
    final Deque<Entry> records = new ArrayDeque<>();
    final TreeMap<String, byte[]> newest = new TreeMap<>();
    final Map<String, Long> offsets = new HashMap<>();
    long first;

    long end() {
      return first + records.size();
    }
  }

  private final Map<String, Topic> topics = new LinkedHashMap<>();
  private final long keepNanos;
  private final Http.Server server;
  private final Map<String, Long> calls = new TreeMap<>();
  private final String ip;

  Store(String ip, int keepSeconds) throws IOException {
    this.ip = ip;
    keepNanos = keepSeconds * 1_000_000_000L;
    server = new Http.Server(ip, 0, this::handle);
  }

  String address() {
    return ip + ":" + server.port();
  }

  /** Writes a keyed record, as the operator and the runners do. */
  synchronized void put(String topic, String key, String value) {
    byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
    ByteArrayOutputStream content = new ByteArrayOutputStream();
    content.write(keyBytes.length);
    content.writeBytes(keyBytes);
    content.writeBytes(value.getBytes(StandardCharsets.UTF_8));
    append(topic(topic), content.toByteArray(), true);
    notifyAll();
  }

  /** Returns the calls by path and topic since the last call of this method. */
  synchronized Map<String, Long> takeCalls() {
    Map<String, Long> taken = new TreeMap<>(calls);
    calls.clear();
    return taken;
  }

  /** Returns the newest record of a topic as text; empty if there is none. */
  synchronized String last(String name) {
    Entry entry = topic(name).records.peekLast();
    return entry == null ? "" : new String(entry.content(), StandardCharsets.UTF_8);
  }

  synchronized String range(String name) {
    Topic topic = topic(name);
    return "first retained offset " + topic.first + ", end " + topic.end();
  }

  private Topic topic(String name) {
    Topic topic = topics.computeIfAbsent(name, key -> new Topic());
    long oldest = System.nanoTime() - keepNanos;
    while (!topic.records.isEmpty() && topic.records.peekFirst().at() < oldest) {
      topic.records.removeFirst();
      topic.first++;
    }
    return topic;
  }

  private void append(Topic topic, byte[] content, boolean keyed) {
    long offset = topic.end();
    topic.records.addLast(new Entry(content, System.nanoTime()));
    if (keyed) {
      int length = content[0] & 0xff;
      String key = new String(content, 1, length, StandardCharsets.UTF_8);
      byte[] value = Arrays.copyOfRange(content, 1 + length, content.length);
      if (value.length == 0) {
        topic.newest.remove(key);
      } else {
        topic.newest.put(key, value);
        topic.offsets.put(key, offset);
      }
    }
  }

  private void handle(Http.Request request, Http.Answer answer) throws Exception {
    Thread.sleep(3);
    String name = request.query("topic", "");
    switch (request.path()) {
      case "/wisteriarail/log-append" -> handleAppend(request, answer, name);
      case "/wisteriarail/log-read" -> handleRead(request, answer, name);
      case "/wisteriarail/log-newest" -> handleNewest(request, answer, name);
      default -> answer.json(404, "{}");
    }
  }

  private void handleAppend(Http.Request request, Http.Answer answer, String name)
      throws IOException {
    String json;
    int status;
    synchronized (this) {
      calls.merge("append " + name, 1L, Long::sum);
      Topic topic = topic(name);
      long at = Long.parseLong(request.query("at", "-1"));
      if (name.equals("keyed.op") || name.equals("keyed.servers")) {
        status = 403;
        json = "{}";
      } else if (at >= 0 && at != topic.end()) {
        status = 412;
        json = "{\"end_offset\":" + topic.end() + "}";
      } else {
        long offset = topic.end();
        ByteBuffer records = ByteBuffer.wrap(request.body());
        while (records.remaining() >= 4) {
          byte[] content = new byte[records.getInt()];
          records.get(content);
          append(topic, content, name.startsWith("keyed."));
        }
        status = 200;
        json = "{\"offset\":" + offset + ",\"end_offset\":" + topic.end() + "}";
        notifyAll();
      }
    }
    answer.json(status, json);
  }

  private void handleRead(Http.Request request, Http.Answer answer, String name)
      throws IOException, InterruptedException {
    long from = Long.parseLong(request.query("from", "0"));
    long until =
        System.nanoTime() + Long.parseLong(request.query("wait_ms", "0")) * 1_000_000;
    byte[] data = null;
    long first;
    synchronized (this) {
      calls.merge("read " + name, 1L, Long::sum);
      while (topic(name).end() <= from && System.nanoTime() < until) {
        wait(1 + (until - System.nanoTime()) / 1_000_000);
      }
      Topic topic = topic(name);
      first = topic.first;
      if (from >= topic.first && from <= topic.end()) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(ByteBuffer.allocate(16).putLong(topic.end()).putLong(first).array());
        long offset = topic.first;
        for (Entry entry : topic.records) {
          if (offset++ >= from && all.size() < 1_000_000) {
            all.writeBytes(ByteBuffer.allocate(4).putInt(entry.content().length).array());
            all.writeBytes(entry.content());
          }
        }
        data = all.toByteArray();
      }
    }
    if (data == null) {
      answer.json(410, "{\"first_offset\":" + first + "}");
    } else {
      answer.send(200, Map.of("Content-Type", "application/octet-stream"), data);
    }
  }

  private void handleNewest(Http.Request request, Http.Answer answer, String name)
      throws IOException {
    StringBuilder items = new StringBuilder();
    long end;
    synchronized (this) {
      calls.merge("newest " + name, 1L, Long::sum);
      Topic topic = topic(name);
      end = topic.end();
      String after = request.query("after", "");
      topic.newest.forEach(
          (key, value) -> {
            if (key.compareTo(after) > 0) {
              items.append(items.isEmpty() ? "" : ",");
              items.append("{\"key\":\"" + key + "\",\"value\":\"");
              items.append(Base64.getEncoder().encodeToString(value));
              items.append("\",\"offset\":" + topic.offsets.get(key) + "}");
            }
          });
    }
    answer.json(
        200, "{\"items\":[" + items + "],\"has_more\":false,\"end_offset\":" + end + "}");
  }

  @Override
  public void close() {
    server.close();
  }
}
