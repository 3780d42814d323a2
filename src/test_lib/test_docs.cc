// Compares the operators' pages with the settings, metrics, reasons and span
// attributes of the program.
#include <glib.h>
#include <gtest/gtest.h>
#include <jansson.h>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "baobabward/metrics.h"
#include "baobabward/settings.h"
#include "baobabward/trace.h"
#include "baobabward/verdict.h"

namespace
{
std::string read_page(const std::string &path)
{
	std::ifstream f(path);
	std::stringstream s;

	EXPECT_TRUE(f.good()) << path;
	s << f.rdbuf();
	return s.str();
}

using Rows = std::map<std::string, std::vector<std::string>>;

// Rows of the tables of a page, by the text in the first pair of backticks.
Rows table_rows(const std::string &page)
{
	static const std::regex first("^\\| `([^`{]*)[^`]*` \\| (.*) \\|$");
	std::istringstream lines(read_page("docs/operators/" + page));
	std::string line;
	Rows rows;

	while (std::getline(lines, line)) {
		std::smatch m;
		std::vector<std::string> cells;
		std::string rest;
		size_t end;

		if (!std::regex_match(line, m, first))
			continue;
		rest = m[2];
		while ((end = rest.find(" | ")) != std::string::npos) {
			cells.push_back(rest.substr(0, end));
			rest = rest.substr(end + 3);
		}
		cells.push_back(rest);
		EXPECT_TRUE(rows.emplace(m[1], cells).second) << line;
	}
	return rows;
}

struct Settings {
	std::vector<std::string> words{ "baobabd", "--host=h",
					"--config-file=f" };
	struct bb_settings *s;
	json_t *json = nullptr;

	Settings()
	{
		std::vector<char *> argv;
		struct bb_error err = {};
		int argc = (int)words.size();
		char **p, *help, *text;

		for (std::string &w : words)
			argv.push_back(&w[0]);
		argv.push_back(nullptr);
		p = argv.data();
		s = bb_settings_parse(&argc, &p, &help, &err);
		EXPECT_NE(nullptr, s) << err.message;
		if (!s)
			return;
		text = bb_settings_json(s);
		json = json_loads(text, 0, nullptr);
		free(text);
	}

	~Settings()
	{
		json_decref(json);
		bb_settings_delete(s);
	}
};

std::string replace_all(std::string s, char from, const std::string &to)
{
	std::string out;

	for (char c : s)
		out += c == from ? to : std::string(1, c);
	return out;
}

std::string environment_variable(const std::string &flag)
{
	std::string s = "BAOBABWARD_" + flag;

	for (char &c : s)
		c = c == '-' ? '_' : g_ascii_toupper(c);
	return s;
}

std::string value_text(json_t *row)
{
	json_t *value = json_object_get(row, "value");
	char *text = json_dumps(value, JSON_ENCODE_ANY);
	std::string s(json_is_string(value) ? json_string_value(value) : text);

	free(text);
	return s;
}
} // namespace

// Guards against a setting that the pages do not list, a listed setting that no
// longer exists, and a listed default that differs from the program.
TEST(Docs, SettingsAreListed)
{
	Rows rows = table_rows("settings.md");
	std::string man = read_page("docs/man/baobabd.1");
	Settings settings;
	const char *flag;
	json_t *row;

	ASSERT_NE(nullptr, settings.json);
	json_object_foreach (settings.json, flag, row) {
		std::string name = std::string("--") + flag;

		ASSERT_EQ(1u, rows.count(name)) << name;
		EXPECT_NE(std::string::npos,
			  man.find("\\fB" + replace_all(name, '-', "\\-") +
				   "\\fR="))
			<< name;
		EXPECT_NE(std::string::npos,
			  man.find("\n" + environment_variable(flag) + "\n"))
			<< name;
		if (!json_is_null(json_object_get(row, "value")) &&
		    std::string("default") ==
			    json_string_value(json_object_get(row, "from")))
			EXPECT_EQ(0u, rows[name][0].find("`" + value_text(row) +
							 "`"))
				<< name;
		rows.erase(name);
	}
	EXPECT_TRUE(rows.empty()) << rows.begin()->first;
}

// Guards against a metric that the page does not list or lists with another
// type, and a listed metric that no longer exists.
TEST(Docs, MetricsAreListed)
{
	Rows rows = table_rows("metrics.md");
	char *text = bb_metrics_text();
	std::istringstream lines(text);
	std::string line;

	while (std::getline(lines, line)) {
		std::istringstream words(line);
		std::string hash, word, name, kind;

		words >> hash >> word >> name >> kind;
		if (hash != "#" || word != "TYPE")
			continue;
		ASSERT_EQ(1u, rows.count(name)) << name;
		EXPECT_EQ(kind, rows[name][0]) << name;
		rows.erase(name);
	}
	EXPECT_TRUE(rows.empty()) << rows.begin()->first;
	g_free(text);
}

// Guards against a refusal reason that the page does not list or lists with
// another status code, and a listed reason that no longer exists.
TEST(Docs, ReasonsAreListed)
{
	Rows rows = table_rows("errors.md");
	std::set<std::string> verdicts;

	for (int i = 0; i < BB_VERDICT_COUNT; i++)
		verdicts.insert(std::string("`") + bb_verdict_string[i] + "`");
	for (int i = 0; i < BB_REASON_COUNT; i++) {
		std::string name = bb_reason_string[i];

		ASSERT_EQ(1u, rows.count(name)) << name;
		ASSERT_EQ(4u, rows[name].size()) << name;
		EXPECT_EQ(std::to_string(bb_reason_status((enum bb_reason)i)),
			  rows[name][0])
			<< name;
		std::istringstream cell(rows[name][1]);
		std::string verdict;
		while (std::getline(cell >> std::ws, verdict, ','))
			EXPECT_EQ(1u, verdicts.count(verdict))
				<< name << ": " << verdict;
		EXPECT_FALSE(rows[name][1].empty()) << name;
		rows.erase(name);
	}
	EXPECT_TRUE(rows.empty()) << rows.begin()->first;
}

// Guards against span attributes that the page does not list.
TEST(Docs, SpanAttributesAreListed)
{
	Rows rows = table_rows("traces.md");

	for (int i = 0; i < BB_SPAN_ATTRIBUTE_COUNT; i++)
		EXPECT_EQ(1u, rows.count(bb_span_attribute_key[i]))
			<< bb_span_attribute_key[i];
}
