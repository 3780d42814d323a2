#include <glib.h>
#include <gtest/gtest.h>
#include <jansson.h>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "libstatus/report.h"
}

namespace
{
const char *const FULL =
	R"({"host":"h1","incarnation":"00ab","state":"running",
"config_version":7,"config_version_age_ms":40,"automation":false,"busy":3,
"current":true,"quorum":"2 of 3","backends":[
{"name":"o1","state":"in","reason":"none","would":null},
{"name":"o2","state":"ejected","reason":"slow","would":null,"age_ms":9},
{"name":"o3","state":"in","would":{"state":"ejected","reason":"slow",
"age_ms":7}},
{"name":"o4","state":"trial","reason":"errors"}]})";

struct Fleet {
	std::vector<json_t *> documents;
	std::vector<struct bb_status_answer> answers;

	void add(const char *json)
	{
		struct bb_status_answer a = {};

		a.node = "10.0.0.1:8081";
		a.document = json ? json_loads(json, 0, nullptr) : nullptr;
		a.error = json ? nullptr : "timeout";
		a.age_us = 2000;
		EXPECT_TRUE(!json || a.document);
		documents.push_back(a.document);
		answers.push_back(a);
	}

	~Fleet()
	{
		for (json_t *d : documents)
			json_decref(d);
	}

	std::string line(size_t i) const
	{
		char *s = bb_status_line(&answers[i]);
		std::string text(s);

		g_free(s);
		return text;
	}

	size_t problems(bool expect_off) const
	{
		json_t *p = bb_status_problems(answers.data(), answers.size(),
					       expect_off);
		size_t nr = json_array_size(p);

		json_decref(p);
		return nr;
	}
};
} // namespace

// Guards against a field that is left out of the line or shown without its age,
// and against a withheld action that is read in another form than nodes send.
TEST(Status, LineShowsAllFields)
{
	Fleet f;

	f.add(FULL);
	EXPECT_EQ("10.0.0.1:8081: host h1, running, incarnation 00ab, "
		  "version 7 (42 ms old), automation off, current yes, "
		  "quorum 2 of 3, busy 3, ejected o2 (slow, 9 ms old) "
		  "o4 (errors), "
		  "would act on o3 (ejected: slow, 7 ms old), answer 2 ms old",
		  f.line(0));
	EXPECT_EQ(0u, f.problems(true));
}

// Guards against a field that is missing or of another type but shown as if it
// were known.
TEST(Status, MissingFieldsAreUnknown)
{
	Fleet f;

	f.add("{}");
	EXPECT_EQ("10.0.0.1:8081: host unknown, unknown, incarnation unknown, "
		  "version unknown, automation unknown, current unknown, "
		  "quorum unknown, busy unknown, ejected unknown, "
		  "answer 2 ms old",
		  f.line(0));
	f.add(R"({"automation":"off","config_version":"7","backends":{}})");
	EXPECT_NE(std::string::npos, f.line(1).find("automation unknown"));
	EXPECT_NE(std::string::npos, f.line(1).find("ejected unknown"));
}

// Guards against terminal control sequences in a document, which the terminal
// of the operator would run.
TEST(Status, ControlCharactersAreNotPrinted)
{
	Fleet f;

	f.add(R"({"host":"a\u001b[2Jb\n"})");
	EXPECT_NE(std::string::npos, f.line(0).find("host a?[2Jb?"));
}

// Guards against a fleet that is reported as free of problems although a node
// does not answer, has another version, or does not confirm that automation is
// off.
TEST(Status, ProblemsAreFound)
{
	Fleet silent, versions, on, unknown;

	silent.add(FULL);
	silent.add(nullptr);
	EXPECT_EQ(1u, silent.problems(false));
	EXPECT_EQ("10.0.0.1:8081: no answer: timeout", silent.line(1));
	versions.add(FULL);
	versions.add(R"({"config_version":8,"automation":false})");
	EXPECT_EQ(1u, versions.problems(true));
	on.add(R"({"config_version":7,"automation":true})");
	EXPECT_EQ(0u, on.problems(false));
	EXPECT_EQ(1u, on.problems(true));
	unknown.add(R"({"config_version":7})");
	EXPECT_EQ(1u, unknown.problems(true));
	unknown.add("{}");
	EXPECT_EQ(1u, unknown.problems(false));
}

// Guards against rows that were left out of a version without operators seeing
// it.
TEST(Status, RowsThatWereLeftOutAreAProblem)
{
	Fleet f;

	f.add(R"({"config_version":7,"refused_rows":[]})");
	EXPECT_EQ(0u, f.problems(false));
	f.add(R"({"config_version":7,"refused_rows":["routes row 2"]})");
	EXPECT_EQ(1u, f.problems(false));
}

// Guards against a leaving host that operators do not see, and against a host
// list that was never read but is shown as empty.
TEST(Status, ShowsTheHostList)
{
	Fleet f;

	f.add(R"({"host_list":{"sequence":7,"age_ms":40,
"leaving":["h\u001b1","h2"],"dead":["h3"]}})");
	f.add(R"({"host_list":{"sequence":0,"age_ms":null,"leaving":[],
"dead":[]}})");
	f.add(R"({"host_list":null})");
	EXPECT_NE(std::string::npos,
		  f.line(0).find("host list 7 (read 40 ms ago), leaving h?1 h2,"
				 " dead h3"))
		<< f.line(0);
	EXPECT_NE(std::string::npos, f.line(1).find("host list not read"));
	EXPECT_EQ(std::string::npos, f.line(2).find("host list"));
}
