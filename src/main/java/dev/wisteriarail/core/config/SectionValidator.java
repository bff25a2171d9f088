package dev.wisteriarail.core.config;

import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.result.ResultCode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Validates a set of sections that together form a configuration.
 *
 * <p>The result depends only on the arguments, so every reader of the log reaches the same result,
 * on any machine and at any time. Thread-safe.
 */
public final class SectionValidator {

  private final Collection<Section> sections;
  private final Configuration merged;
  private final List<SectionProblem> problems = new ArrayList<>();

  private SectionValidator(Collection<Section> sections) {
    this.sections = sections;
    merged = Configuration.merge(Revision.NONE, sections);
  }

  /**
   * Returns all problems of a set of sections.
   *
   * @param sections the sections, ordered by name
   */
  public static List<SectionProblem> check(Collection<Section> sections) {
    SectionValidator validator = new SectionValidator(sections);
    sections.forEach(section -> validator.problems.addAll(SectionValueValidator.check(section)));
    validator.checkUnique();
    sections.forEach(validator::checkReferences);
    return List.copyOf(validator.problems);
  }

  /**
   * Returns all problems of a set of sections after one of them is added or replaced.
   *
   * @param inForce the sections in force by name, which are valid together
   * @param proposed the section that replaces the one of the same name
   */
  public static List<SectionProblem> check(Map<String, Section> inForce, Section proposed) {
    Map<String, Section> sections = new TreeMap<>(inForce);
    sections.put(proposed.name(), proposed);
    return check(sections.values());
  }

  // Identifiers

  private void checkUnique() {
    checkUniqueIds("model", Section::models, ModelSpec::id);
    checkUniqueIds("adapter", Section::adapters, AdapterSpec::id);
    checkUniqueIds("customer", Section::customers, CustomerSpec::id);
    checkUniqueIds("kind", Section::kinds, KindSpec::id);
    checkUniqueIds("service", Section::services, ServiceSpec::id);
    checkUniqueIds("runner", Section::runners, RunnerSpec::id);
    checkSingleDeployment();
    checkUniqueTokens();
  }

  private <T> void checkUniqueIds(
      String table, Function<Section, List<T>> entries, Function<T, Object> id) {
    Map<String, String> owners = new TreeMap<>();
    for (Section section : sections) {
      List<T> list = entries.apply(section);
      for (int i = 0; i < list.size(); i++) {
        String name = id.apply(list.get(i)).toString();
        registerOwner(owners, name, section, table + "." + i + ".id", table + " " + name);
      }
    }
  }

  private void checkUniqueTokens() {
    Map<String, String> owners = new TreeMap<>();
    for (Section section : sections) {
      for (int i = 0; i < section.customers().size(); i++) {
        String path = "customer." + i + ".token_sha256";
        for (String hash : section.customers().get(i).tokenHashes()) {
          registerOwner(owners, hash, section, path, "the token hash");
        }
      }
    }
  }

  private void registerOwner(
      Map<String, String> owners, String name, Section section, String path, String description) {
    String owner = owners.putIfAbsent(name, section.name());
    if (owner != null) {
      add(
          ResultCode.IDENTIFIER_DUPLICATE,
          section,
          path,
          description + " is already used by section " + owner,
          "choose another one, or remove it from one of the two");
    }
  }

  private void checkSingleDeployment() {
    String owner = null;
    for (Section section : sections) {
      if (section.deployment().isPresent() && owner != null) {
        add(
            ResultCode.DEPLOYMENT_DUPLICATE,
            section,
            "deployment",
            "section " + owner + " already configures the deployment",
            "remove the table from one of the two");
      }
      owner = section.deployment().isPresent() ? section.name() : owner;
    }
  }

  // References

  private void checkReferences(Section section) {
    for (int i = 0; i < section.models().size(); i++) {
      ModelSpec model = section.models().get(i);
      if (!merged.customers().containsKey(model.customer())) {
        addUnknown(section, "model." + i + ".customer", model.customer());
      }
    }
    for (int i = 0; i < section.adapters().size(); i++) {
      checkAdapter(section, section.adapters().get(i), "adapter." + i);
    }
    for (int i = 0; i < section.kinds().size(); i++) {
      KindSpec kind = section.kinds().get(i);
      checkReferencesExist(
          section, "kind." + i + ".models", kind.models(), merged.models()::containsKey);
      checkReferencesExist(
          section, "kind." + i + ".services", kind.services(), merged.services()::containsKey);
    }
    for (int i = 0; i < section.services().size(); i++) {
      ServiceSpec service = section.services().get(i);
      checkReferencesExist(
          section, "service." + i + ".runners", service.runners(), merged.runners()::containsKey);
    }
  }

  private void checkAdapter(Section section, AdapterSpec adapter, String path) {
    if (!merged.customers().containsKey(adapter.customer())) {
      addUnknown(section, path + ".customer", adapter.customer());
    }
    ModelSpec model = merged.models().get(adapter.model());
    if (model == null) {
      addUnknown(section, path + ".model", adapter.model());
    } else if (!model.customer().equals(adapter.customer())) {
      add(
          ResultCode.REFERENCE_UNKNOWN,
          section,
          path + ".model",
          "model " + model.id() + " belongs to customer " + model.customer(),
          "name a model of customer " + adapter.customer());
    }
  }

  private <T> void checkReferencesExist(
      Section section, String path, List<T> references, Predicate<T> exists) {
    for (int i = 0; i < references.size(); i++) {
      if (!exists.test(references.get(i))) {
        addUnknown(section, path + "." + i, references.get(i));
      }
    }
  }

  // Helpers

  private void addUnknown(Section section, String path, Object name) {
    add(
        ResultCode.REFERENCE_UNKNOWN,
        section,
        path,
        name + " is not described in any section",
        "correct the name, or publish the section that describes it first");
  }

  private void add(ResultCode code, Section section, String path, String message, String remedy) {
    problems.add(new SectionProblem(code, section.name(), path, message, remedy));
  }
}
