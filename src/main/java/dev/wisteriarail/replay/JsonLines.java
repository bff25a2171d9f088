package dev.wisteriarail.replay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Reads and writes files of one JSON object per line with field names in snake case. Thread-safe.
 */
final class JsonLines {

  private static final ObjectMapper MAPPER =
      Codecs.json()
          .copy()
          .setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

  private JsonLines() {}

  /** Returns the JSON mapper for these files. */
  static ObjectMapper mapper() {
    return MAPPER;
  }

  /**
   * Reads a file.
   *
   * @param invalid result code for a malformed line
   * @throws SettingsException with the file, the line and the reason
   */
  static <T> List<T> read(Path file, Class<T> type, ResultCode invalid) throws SettingsException {
    List<T> entries = new ArrayList<>();
    List<String> lines = lines(file);
    for (int i = 0; i < lines.size(); i++) {
      try {
        entries.add(MAPPER.readValue(lines.get(i), type));
      } catch (JsonProcessingException malformed) {
        throw new SettingsException(
            invalid,
            location(file, i),
            "malformed: " + malformed.getOriginalMessage() + "; the fields are " + fields(type));
      }
    }
    return entries;
  }

  /** Writes a file. */
  static void write(Path file, List<?> entries) throws SettingsException {
    StringBuilder text = new StringBuilder();
    try {
      for (Object entry : entries) {
        text.append(MAPPER.writeValueAsString(entry)).append('\n');
      }
      Files.writeString(file, text);
    } catch (IOException failure) {
      throw new SettingsException(
          ResultCode.REPORT_UNWRITABLE, file.toString(), "cannot be written", failure);
    }
  }

  /** Returns the location of a line for messages; {@code line} counts from 0. */
  static String location(Path file, int line) {
    return file + ": line " + (line + 1);
  }

  private static String fields(Class<?> type) {
    PropertyNamingStrategies.NamingBase snake =
        (PropertyNamingStrategies.NamingBase) PropertyNamingStrategies.SNAKE_CASE;
    return Arrays.stream(type.getRecordComponents())
        .map(RecordComponent::getName)
        .map(snake::translate)
        .collect(Collectors.joining(", "));
  }

  private static List<String> lines(Path file) throws SettingsException {
    try {
      return Files.readAllLines(file);
    } catch (IOException failure) {
      throw new SettingsException(
          ResultCode.FILE_UNREADABLE, file.toString(), "cannot be read", failure);
    }
  }
}
