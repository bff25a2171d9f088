package dev.wisteriarail.standin;

import static java.nio.charset.StandardCharsets.UTF_8;

import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.settings.Endpoint;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A stand-in for the users' metadata store: topics with conditional appends, and the newest record
 * of each key.
 *
 * <p>The store can be restored from an older copy of itself. A restore begins a new era and loses
 * the records written after the copy.
 *
 * <p>Life cycle: {@link #start}, then {@link #close}. Thread-safe.
 */
public final class MetadataStoreStandin implements AutoCloseable {

  private static final int GONE = 410;
  private static final int CONDITION_FAILED = 412;
  private static final int PAGE_SIZE = 50;
  private static final String ERA_HEADER = "Store-Era";

  private final Map<String, Topic> topics = new TreeMap<>();
  private StandinServer server;
  private long callCount;
  private long era;

  private MetadataStoreStandin() {}

  /**
   * Starts an empty store.
   *
   * @param endpoint where to listen
   * @throws SettingsException if the port cannot be bound
   */
  public static MetadataStoreStandin start(Endpoint endpoint) throws SettingsException {
    MetadataStoreStandin store = new MetadataStoreStandin();
    store.server = StandinServer.start(endpoint, 1, store::handle);
    return store;
  }

  // Direct access for operators and runners

  /** Appends a record for a key; an empty value deletes the key. */
  public long put(String topic, String key, String value) {
    return put(topic, key, value.getBytes(UTF_8));
  }

  /** Appends a record whose value need not be text. */
  public synchronized long put(String topic, String key, byte[] value) {
    byte[] keyBytes = key.getBytes(UTF_8);
    ByteArrayOutputStream content = new ByteArrayOutputStream();
    content.write(keyBytes.length);
    content.writeBytes(keyBytes);
    content.writeBytes(value);
    long offset = topic(topic).append(content.toByteArray());
    notifyAll();
    return offset;
  }

  /** Returns the values of the newest records of a topic, by key. */
  public synchronized Map<String, String> newest(String topic) {
    Map<String, String> values = new TreeMap<>();
    topic(topic)
        .newest
        .forEach(
            (key, item) ->
                values.put(key, new String(Base64.getDecoder().decode(item.base64()), UTF_8)));
    return values;
  }

  /** Compacts a topic: drops its records except the newest one of each key. */
  public synchronized void compact(String topic) {
    topic(topic).compact();
  }

  /**
   * Restores the store from a copy and begins a new era. Operators and runners must write the lost
   * records again.
   *
   * @param age age of the copy
   */
  public synchronized void restore(Duration age) {
    era++;
    long copiedAt = System.nanoTime() - age.toNanos();
    topics.values().forEach(topic -> topic.restore(copiedAt));
    notifyAll();
  }

  /** Returns the offset after the last record of a topic. */
  public synchronized long endOffset(String topic) {
    return topic(topic).endOffset();
  }

  /** Returns the number of calls received. */
  public synchronized long callCount() {
    return callCount;
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, Topic::new);
  }

  // Calls

  private synchronized void handle(Call call) throws IOException, InterruptedException {
    callCount++;
    call.setHeader(ERA_HEADER, Long.toString(era));
    Topic topic = topic(call.query("topic", ""));
    switch (call.path()) {
      case "/wisteriarail/log-append" -> append(call, topic);
      case "/wisteriarail/log-read" -> read(call, topic);
      case "/wisteriarail/log-newest" -> newestPage(call, topic);
      default -> call.reply(404, "no such call");
    }
  }

  private void append(Call call, Topic topic) throws IOException {
    long expectedOffset = call.query("at", -1);
    if (expectedOffset >= 0 && expectedOffset != topic.endOffset()) {
      call.replyJson(CONDITION_FAILED, Map.of("end_offset", topic.endOffset()));
      return;
    }
    ByteBuffer body = ByteBuffer.wrap(call.bodyBytes());
    long first = topic.endOffset();
    while (body.remaining() >= Integer.BYTES) {
      byte[] content = new byte[body.getInt()];
      body.get(content);
      topic.append(content);
    }
    notifyAll();
    if (!server.shouldLoseAnswer()) {
      call.replyJson(Map.of("offset", first, "end_offset", topic.endOffset()));
    }
  }

  private void read(Call call, Topic topic) throws IOException, InterruptedException {
    long from = call.query("from", 0);
    long waitMillis = call.query("wait_ms", 0);
    long deadline = System.nanoTime() + waitMillis * 1_000_000;
    long startEra = era;
    while (topic.endOffset() <= from && era == startEra && System.nanoTime() < deadline) {
      wait(1 + (deadline - System.nanoTime()) / 1_000_000);
    }
    call.setHeader(ERA_HEADER, Long.toString(era));
    if (from < topic.firstOffset || from > topic.endOffset()) {
      call.replyJson(GONE, Map.of("first_offset", topic.firstOffset));
      return;
    }
    ByteArrayOutputStream answer = new ByteArrayOutputStream();
    answer.writeBytes(
        ByteBuffer.allocate(16).putLong(topic.endOffset()).putLong(topic.firstOffset).array());
    for (long offset = from; offset < topic.endOffset(); offset++) {
      byte[] content = topic.records.get((int) (offset - topic.firstOffset));
      answer.writeBytes(ByteBuffer.allocate(4).putInt(content.length).array());
      answer.writeBytes(content);
    }
    call.reply(200, answer.toByteArray());
  }

  private static void newestPage(Call call, Topic topic) throws IOException {
    String after = call.query("after", "");
    List<Map<String, Object>> items = new ArrayList<>();
    boolean hasMore = false;
    for (Map.Entry<String, KeyedValue> entry : topic.newest.entrySet()) {
      if (entry.getKey().compareTo(after) <= 0) {
        continue;
      }
      if (items.size() == PAGE_SIZE) {
        hasMore = true;
        break;
      }
      Map<String, Object> item = new LinkedHashMap<>();
      item.put("key", entry.getKey());
      item.put("value", entry.getValue().base64());
      item.put("offset", entry.getValue().offset());
      items.add(item);
    }
    call.replyJson(Map.of("items", items, "has_more", hasMore, "end_offset", topic.endOffset()));
  }

  // Accessors

  /** Returns the address as host and port. */
  public String address() {
    return server.authority();
  }

  /** Returns the server, which holds the faults. */
  public StandinServer server() {
    return server;
  }

  @Override
  public void close() {
    server.close();
  }

  private record KeyedValue(String base64, long offset) {}

  /** One topic with one partition. */
  private static final class Topic {

    private final boolean keyed;
    private final List<byte[]> records = new ArrayList<>();
    private final List<Long> writtenNanos = new ArrayList<>();
    private final Map<String, KeyedValue> compacted = new TreeMap<>();
    private final Map<String, KeyedValue> newest = new TreeMap<>();
    private long firstOffset;

    Topic(String name) {
      keyed = name.startsWith("keyed.");
    }

    long append(byte[] content) {
      long offset = endOffset();
      records.add(content);
      writtenNanos.add(System.nanoTime());
      updateNewest(content, offset);
      return offset;
    }

    private void updateNewest(byte[] content, long offset) {
      if (!keyed) {
        return;
      }
      int length = content[0];
      String key = new String(content, 1, length, UTF_8);
      byte[] value = Arrays.copyOfRange(content, 1 + length, content.length);
      if (value.length == 0) {
        newest.remove(key);
      } else {
        newest.put(key, new KeyedValue(Base64.getEncoder().encodeToString(value), offset));
      }
    }

    void restore(long copiedAt) {
      while (!records.isEmpty() && writtenNanos.getLast() > copiedAt) {
        records.removeLast();
        writtenNanos.removeLast();
      }
      newest.clear();
      newest.putAll(compacted);
      for (int i = 0; i < records.size(); i++) {
        updateNewest(records.get(i), firstOffset + i);
      }
    }

    long endOffset() {
      return firstOffset + records.size();
    }

    void compact() {
      firstOffset = endOffset();
      records.clear();
      writtenNanos.clear();
      compacted.clear();
      compacted.putAll(newest);
    }
  }
}
