package dev.wisteriarail.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** The raw form in which the store takes and gives records. Stateless. */
final class WireRecords {

  private static final int LENGTH_BYTES = 4;
  private static final int OFFSETS_BYTES = 16;

  private WireRecords() {}

  /** Encodes one record: its length in four bytes, big endian, and its content. */
  static byte[] encode(byte[] content) {
    return ByteBuffer.allocate(LENGTH_BYTES + content.length)
        .putInt(content.length)
        .put(content)
        .array();
  }

  /** Encodes the content of a record with a key: the key's length in one byte, key and value. */
  static byte[] encodeKeyed(byte[] key, byte[] value) {
    ByteArrayOutputStream content = new ByteArrayOutputStream();
    content.write(key.length);
    content.writeBytes(key);
    content.writeBytes(value);
    return content.toByteArray();
  }

  /** Decodes the answer to a read. */
  static Batch decode(byte[] answer) throws IOException {
    if (answer.length < OFFSETS_BYTES) {
      throw new IOException("the answer has no offsets");
    }
    ByteBuffer buffer = ByteBuffer.wrap(answer);
    long end = buffer.getLong();
    long first = buffer.getLong();
    List<byte[]> records = new ArrayList<>();
    while (buffer.remaining() >= LENGTH_BYTES) {
      int length = buffer.getInt();
      if (length < 0 || length > buffer.remaining()) {
        throw new IOException("a record is cut short");
      }
      byte[] content = new byte[length];
      buffer.get(content);
      records.add(content);
    }
    return new Batch(end, first, records);
  }

  /** Decodes the content of a record with a key. */
  static KeyedRecord decodeKeyed(byte[] content) throws IOException {
    int length = content.length == 0 ? 0 : Byte.toUnsignedInt(content[0]);
    if (content.length < 1 + length) {
      throw new IOException("a key is cut short");
    }
    String value = new String(content, 1 + length, content.length - 1 - length, UTF_8);
    return new KeyedRecord(new String(content, 1, length, UTF_8), value);
  }

  /**
   * Records that were read.
   *
   * @param endOffset offset after the last record of the store
   * @param firstOffset offset of the first record that the store still has
   * @param records their contents
   */
  record Batch(long endOffset, long firstOffset, List<byte[]> records) {}

  /**
   * A record with a key.
   *
   * @param key the key
   * @param value the value as text; empty if the key is dropped
   */
  record KeyedRecord(String key, String value) {}
}
