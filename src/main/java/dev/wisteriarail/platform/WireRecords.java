package dev.wisteriarail.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Binary encoding of the store's records. Stateless. */
final class WireRecords {

  private static final int LENGTH_BYTES = 4;
  private static final int OFFSETS_BYTES = 16;

  private WireRecords() {}

  /** Encodes one record: its length as four bytes, big endian, followed by its content. */
  static byte[] encode(byte[] content) {
    return ByteBuffer.allocate(LENGTH_BYTES + content.length)
        .putInt(content.length)
        .put(content)
        .array();
  }

  /** Encodes the content of a keyed record: the key's length as one byte, the key and the value. */
  static byte[] encodeKeyed(byte[] key, byte[] value) {
    ByteArrayOutputStream content = new ByteArrayOutputStream();
    content.write(key.length);
    content.writeBytes(key);
    content.writeBytes(value);
    return content.toByteArray();
  }

  /** Decodes the response to a read. */
  static Batch decode(byte[] answer) throws IOException {
    if (answer.length < OFFSETS_BYTES) {
      throw new IOException("the response has no offsets");
    }
    ByteBuffer buffer = ByteBuffer.wrap(answer);
    long end = buffer.getLong();
    long first = buffer.getLong();
    List<byte[]> records = new ArrayList<>();
    while (buffer.remaining() >= LENGTH_BYTES) {
      int length = buffer.getInt();
      if (length < 0 || length > buffer.remaining()) {
        throw new IOException("a record is truncated");
      }
      byte[] content = new byte[length];
      buffer.get(content);
      records.add(content);
    }
    return new Batch(end, first, records);
  }

  /** Decodes the content of a keyed record. */
  static KeyedRecord decodeKeyed(byte[] content) throws IOException {
    int length = content.length == 0 ? 0 : Byte.toUnsignedInt(content[0]);
    if (content.length < 1 + length) {
      throw new IOException("a key is truncated");
    }
    String value = new String(content, 1 + length, content.length - 1 - length, UTF_8);
    return new KeyedRecord(new String(content, 1, length, UTF_8), value);
  }

  /**
   * Result of a read.
   *
   * @param endOffset offset after the topic's last record
   * @param firstOffset offset of the oldest record that the store retains
   * @param records contents of the records
   */
  record Batch(long endOffset, long firstOffset, List<byte[]> records) {}

  /**
   * A keyed record.
   *
   * @param key the key
   * @param value the value as text; empty if the key was removed
   */
  record KeyedRecord(String key, String value) {}
}
