package dev.wisteriarail.answers;

import dev.wisteriarail.core.config.CheckpointLocation;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.config.SectionProblem;
import dev.wisteriarail.core.config.SectionValidator;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.settings.TomlDocument;
import dev.wisteriarail.settings.TomlProblem;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Reads the teams' answers from TOML files, one section per file.
 *
 * <p>Collects all problems: invalid TOML, wrong types, unknown keys and conflicts between sections.
 * docs/CONFIGURATION.md lists the keys. Life cycle: one per read. Not thread-safe.
 */
public final class AnswersReader {

  private static final String ANSWERS_FOLDER = "answers";
  private static final String SUFFIX = ".toml";

  private final Map<String, TomlDocument> documents = new TreeMap<>();
  private final Map<String, String> files = new TreeMap<>();
  private final Map<String, Section> sections = new TreeMap<>();
  private final Map<String, Section> inForce;
  private final List<AnswerProblem> problems = new ArrayList<>();

  private AnswersReader(Map<String, Section> inForce) {
    this.inForce = inForce;
  }

  // Entry points

  /**
   * Reads files and folders and checks their sections.
   *
   * @param paths files, or folders whose {@code .toml} files are read; if a folder contains a
   *     folder {@code answers}, the files of that one are read instead
   * @throws SettingsException if a file or folder cannot be read
   */
  public static AnswerSet read(List<Path> paths) throws SettingsException {
    return read(paths, Map.of());
  }

  /**
   * Reads files and folders, and checks them merged with the sections in force.
   *
   * @param paths files and folders, as in {@link #read(List)}
   * @param inForce the sections in force, by name; sections that are read replace those of their
   *     name
   * @throws SettingsException if a file or folder cannot be read
   */
  public static AnswerSet read(List<Path> paths, Map<String, Section> inForce)
      throws SettingsException {
    AnswersReader reader = new AnswersReader(inForce);
    for (Path path : paths) {
      for (Path file : filesOf(path)) {
        reader.readFile(file);
      }
    }
    return reader.validate();
  }

  /**
   * Reads the configuration from the folder of a deployment.
   *
   * @throws SettingsException with all problems of the answers
   */
  public static Configuration readConfiguration(Path folder) throws SettingsException {
    return read(List.of(folder)).configuration();
  }

  // Files

  private static List<Path> filesOf(Path path) throws SettingsException {
    if (!Files.isDirectory(path)) {
      return List.of(path);
    }
    Path inner = path.resolve(ANSWERS_FOLDER);
    try (Stream<Path> entries = Files.list(Files.isDirectory(inner) ? inner : path)) {
      return entries.filter(file -> file.toString().endsWith(SUFFIX)).sorted().toList();
    } catch (IOException failure) {
      throw new SettingsException(
          ResultCode.FILE_UNREADABLE, path.toString(), "cannot be listed", failure);
    }
  }

  private void readFile(Path path) throws SettingsException {
    String file = path.toString();
    TomlDocument toml;
    try {
      toml = TomlDocument.read(path);
    } catch (SettingsException malformed) {
      if (malformed.code() == ResultCode.FILE_UNREADABLE) {
        throw malformed;
      }
      String remedy = "correct the TOML";
      problems.add(
          new AnswerProblem(
              ResultCode.ANSWERS_SYNTAX, file, 0, "", malformed.getMessage(), remedy));
      return;
    }
    Section section = SectionParser.parse(toml, sectionName(path));
    toml.rejectUnknownKeys();
    toml.problems().forEach(this::addProblem);
    addSection(section, file, toml);
  }

  private void addSection(Section section, String file, TomlDocument toml) {
    String otherFile = files.putIfAbsent(section.name(), file);
    if (otherFile != null) {
      problems.add(
          new AnswerProblem(
              ResultCode.IDENTIFIER_DUPLICATE,
              file,
              toml.line("section"),
              "section",
              "section " + section.name() + " is defined in " + otherFile + " as well",
              "give each file its own section"));
      return;
    }
    documents.put(section.name(), toml);
    sections.put(section.name(), section);
  }

  private static String sectionName(Path path) {
    String name = String.valueOf(path.getFileName());
    return name.endsWith(SUFFIX) ? name.substring(0, name.length() - SUFFIX.length()) : name;
  }

  // Checks

  private AnswerSet validate() {
    if (problems.isEmpty()) {
      Map<String, Section> merged = new TreeMap<>(inForce);
      merged.putAll(sections);
      SectionValidator.check(merged.values()).forEach(this::addProblem);
      warnAboutCheckpoints(Configuration.merge(Revision.NONE, merged.values()));
    }
    problems.sort(Comparator.comparing(AnswerProblem::file).thenComparingInt(AnswerProblem::line));
    return new AnswerSet(List.copyOf(sections.values()), problems);
  }

  private void warnAboutCheckpoints(Configuration merged) {
    for (Section section : sections.values()) {
      for (int i = 0; i < section.models().size(); i++) {
        warnAboutCheckpoints(section, section.models().get(i), "model." + i, merged);
      }
    }
  }

  private void warnAboutCheckpoints(
      Section section, ModelSpec model, String path, Configuration merged) {
    for (CheckpointLocation location : model.checkpoints()) {
      if (!merged.runners().containsKey(location.runner())) {
        String key = path + ".checkpoints_" + SectionParser.keyOf(location.tier());
        addProblem(
            new SectionProblem(
                ResultCode.ANSWER_DOUBTFUL,
                section.name(),
                key,
                "runner " + location.runner() + " is described by no section",
                "remove it, unless the runner is to be added later"));
      }
    }
  }

  private void addProblem(TomlProblem problem) {
    boolean unknown = problem.message().equals("the key is unknown");
    ResultCode code = unknown ? ResultCode.ANSWER_KEY_UNKNOWN : ResultCode.ANSWER_VALUE_INVALID;
    problems.add(
        new AnswerProblem(
            code,
            problem.file(),
            problem.line(),
            problem.key(),
            problem.message(),
            problem.remedy()));
  }

  private void addProblem(SectionProblem problem) {
    problems.add(
        new AnswerProblem(
            problem.code(),
            files.getOrDefault(problem.section(), "section " + problem.section() + " in force"),
            lineOf(problem),
            problem.path(),
            problem.message(),
            problem.remedy()));
  }

  private int lineOf(SectionProblem problem) {
    TomlDocument document = documents.get(problem.section());
    return document == null ? 0 : document.line(problem.path());
  }
}
