// Settings: defaults, precedence, checks, and that the secret stays hidden.
#include <glib.h>
#include <gtest/gtest.h>
#include <jansson.h>
#include <memory>
#include <string>
#include <vector>

#include "baobabward/settings.h"

namespace
{
const char *const SECRET = "JTKVSB%%)wK0E.X)V>+}o?pNmC{O&4W4b!Ni{Lh6";

struct Result {
	struct bb_settings *s = nullptr;
	std::string error;
	std::string help;

	Result() = default;
	Result(const Result &) = delete;
	Result &operator=(const Result &) = delete;

	~Result()
	{
		bb_settings_delete(s);
	}

	std::string json() const
	{
		char *text = bb_settings_json(s);
		std::string copy(text);

		free(text);
		return copy;
	}

	std::string origin(const char *flag) const
	{
		json_t *o = json_loads(json().c_str(), 0, nullptr);
		json_t *row = json_object_get(o, flag);
		const char *from =
			json_string_value(json_object_get(row, "from"));
		std::string copy(from ? from : "");

		json_decref(o);
		return copy;
	}
};

std::unique_ptr<Result> parse(std::vector<std::string> words)
{
	auto r = std::make_unique<Result>();
	std::vector<char *> argv;
	struct bb_error err = {};
	char *help = nullptr;
	char **p;
	int argc;

	words.insert(words.begin(), "baobabd");
	for (std::string &w : words)
		argv.push_back(&w[0]);
	argv.push_back(nullptr);
	argc = (int)words.size();
	p = argv.data();
	r->s = bb_settings_parse(&argc, &p, &help, &err);
	r->error = err.message;
	r->help = help ? help : "";
	g_free(help);
	return r;
}

std::unique_ptr<Result> parse_with(std::vector<std::string> words)
{
	words.push_back("--host=h");
	words.push_back("--config-file=f");
	return parse(words);
}

bool has(const std::string &text, const std::string &part)
{
	return text.find(part) != std::string::npos;
}

struct Variable {
	std::string name;

	Variable(const char *variable, const char *value) : name(variable)
	{
		g_setenv(variable, value, TRUE);
	}

	~Variable()
	{
		g_unsetenv(name.c_str());
	}
};
} // namespace

// Guards against unintended changes of defaults.
TEST(Settings, Defaults)
{
	auto r = parse_with({});

	ASSERT_NE(nullptr, r->s) << r->error;
	EXPECT_STREQ("127.0.0.1", r->s->listen);
	EXPECT_EQ(8080u, r->s->port);
	EXPECT_STREQ("127.0.0.1", r->s->admin_listen);
	EXPECT_EQ(30000u, r->s->grace_ms);
	EXPECT_EQ(nullptr, r->s->trace_url);
	EXPECT_DOUBLE_EQ(1.0, r->s->trace_ratio);
	EXPECT_EQ("default", r->origin("port"));
	EXPECT_EQ("flag", r->origin("host"));
}

// Guards against an error that names only the first bad value, so that an
// operator must correct them one by one.
TEST(Settings, BadValuesAreReportedTogether)
{
	Variable v("BAOBABWARD_GRACE_MS", "600001");
	auto r = parse({ "--port=70000", "--listen=localhost",
			 "--trace-ratio=1.5", "--log-level=loud",
			 "--config-file=f" });

	EXPECT_EQ(nullptr, r->s);
	EXPECT_TRUE(has(r->error, "--port from flag: \"70000\" must be a "
				  "number from 0 to 65535"))
		<< r->error;
	EXPECT_TRUE(has(r->error, "--listen from flag: \"localhost\""));
	EXPECT_TRUE(has(r->error, "--trace-ratio from flag: \"1.5\" must be a "
				  "number from 0 to 1"));
	EXPECT_TRUE(has(r->error, "--log-level from flag: \"loud\""));
	EXPECT_TRUE(has(r->error, "--grace-ms from environment: \"600001\""));
	EXPECT_TRUE(has(r->error, "--host is required"));
}

// Guards against checks that accept values just outside the allowed range, or
// refuse those just inside.
TEST(Settings, EachRuleHolds)
{
	const std::string hex(64, 'a');

	for (const std::string &bad :
	     std::vector<std::string>{ "--port=-1",
				       "--port=1x",
				       "--port=",
				       "--front-threads=1",
				       "--front-threads=65",
				       "--connection-limit=0",
				       "--idle-timeout-s=3601",
				       "--listen=1.2.3",
				       "--listen=",
				       "--trace-url=https://c/",
				       "--trace-url=http://",
				       "--config-public-key=" + hex + "a",
				       "--config-public-key=A" + hex.substr(1),
				       "--curve-secret=short",
				       "--trace-ratio=",
				       "--trace-ratio=-0",
				       "--trace-ratio=nan",
				       "--trace-ratio=0x1",
				       "--trace-ratio=1.0.0",
				       "--trace-ratio=1e0",
				       "--trace-ratio=1.01" })
		EXPECT_EQ(nullptr, parse_with({ bad })->s) << bad;
	for (const std::string &good : std::vector<std::string>{
		     "--port=0", "--port=65535", "--front-threads=64",
		     "--listen=::1", "--trace-url=http://[::1]:4318/v1/traces",
		     "--config-public-key=" + hex, "--trace-ratio=0",
		     "--trace-ratio=0.25", "--trace-ratio=1" }) {
		auto r = parse_with({ good });

		EXPECT_NE(nullptr, r->s) << good << ": " << r->error;
	}
	EXPECT_EQ(nullptr, parse({ "--host=" + std::string(129, 'h'),
				   "--config-file=f" })
				   ->s);
	EXPECT_EQ(nullptr, parse_with({ "word" })->s);
	EXPECT_EQ(nullptr, parse_with({ "--no-such-flag=1" })->s);
}

// Guards against starting with two sources of the configuration, or none.
TEST(Settings, OneSourceOfTheConfiguration)
{
	const std::string key = "--config-public-key=" + std::string(64, 'a');

	EXPECT_TRUE(has(parse({ "--host=h" })->error, "exactly one of"));
	EXPECT_TRUE(has(parse_with({ "--config-url=http://c", key })->error,
			"exactly one of"));
	EXPECT_TRUE(has(parse({ "--host=h", "--config-url=http://c" })->error,
			"needs --config-public-key"));
	EXPECT_NE(nullptr,
		  parse({ "--host=h", "--config-url=http://c", key })->s);
}

// Guards against an environment variable that overrides a flag.
TEST(Settings, FlagOverridesEnvironment)
{
	Variable port("BAOBABWARD_PORT", "9000");
	Variable ratio("BAOBABWARD_TRACE_RATIO", "0.5");
	auto r = parse_with({ "--port=9001" });

	ASSERT_NE(nullptr, r->s) << r->error;
	EXPECT_EQ(9001u, r->s->port);
	EXPECT_EQ("flag", r->origin("port"));
	EXPECT_DOUBLE_EQ(0.5, r->s->trace_ratio);
	EXPECT_EQ("environment", r->origin("trace-ratio"));
}

// Guards against reporting or using the value of an environment variable that
// a flag overrides.
TEST(Settings, OverriddenVariableIsNotChecked)
{
	Variable port("BAOBABWARD_PORT", "bad");

	EXPECT_EQ(nullptr, parse_with({})->s);
	EXPECT_NE(nullptr, parse_with({ "--port=1" })->s);
}

// Guards against the CURVE secret key in errors, the help text and the JSON
// list of settings.
TEST(Settings, SecretIsNotShown)
{
	Variable v("BAOBABWARD_CURVE_SECRET", SECRET);
	auto good = parse_with({});
	auto bad = parse_with({ std::string("--curve-secret=") + SECRET + "x",
				"--port=bad" });

	ASSERT_NE(nullptr, good->s) << good->error;
	EXPECT_STREQ(SECRET, good->s->curve_secret);
	EXPECT_FALSE(has(good->json(), SECRET));
	EXPECT_TRUE(has(good->json(), "\"set\""));
	EXPECT_EQ(nullptr, bad->s);
	EXPECT_FALSE(has(bad->error, SECRET)) << bad->error;
	EXPECT_TRUE(has(bad->error, "(secret)"));
	EXPECT_FALSE(has(parse({ "--help" })->help, SECRET));
}

// Guards against --help that starts the daemon or complains about missing
// settings.
TEST(Settings, HelpListsFlags)
{
	auto r = parse({ "--help" });

	EXPECT_EQ(nullptr, r->s);
	EXPECT_TRUE(has(r->help, "--trace-ratio=RATIO"));
	EXPECT_TRUE(has(r->help, "BAOBABWARD_<FLAG>"));
}
