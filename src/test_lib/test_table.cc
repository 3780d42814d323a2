#include <gtest/gtest.h>
#include <glib.h>
#include <cstring>
#include <vector>

#include "baobabward/table.h"
#include "config_fixture.h"

static const std::string header =
	"kind,name,weight,rate_per_s,burst,host,service,url,state,slots,"
	"max_connections,key_hashes\n";
static const std::string backend =
	"backend,o1,1.5,,,h1,orders,http://127.0.0.1:8001,in,5,330,\n";

// Applies a table to the fixture's document; the result is version 8.
static Config apply_table(const std::string &csv, std::string *why = nullptr)
{
	struct bb_error err = {};
	Config base = parse(Document().json());
	struct bb_table_sheet *t =
		bb_table_sheet_parse(csv.data(), csv.size(), "t.csv", &err);
	Config c(t ? bb_table_sheet_apply(t, base.get(), 8, &err) : nullptr);

	bb_table_sheet_delete(t);
	if (why)
		*why = err.message;
	return c;
}

static std::string table_of(const struct bb_config *c)
{
	char *text = bb_table_from_config(c);
	std::string s(text);

	g_free(text);
	return s;
}

// Guards against values that are lost or changed when the rows are written as
// a table and read back.
TEST(Table, WrittenTableGivesTheSameRows)
{
	Document d;
	std::string why;

	d.accounts += ",{\"name\":\"a,\\\"b\",\"rate_per_s\":0.1,\"burst\":1e3,"
		      "\"weight\":3,\"key_hashes\":[]},"
		      "{\"name\":\"free\",\"rate_per_s\":1,\"burst\":1,"
		      "\"weight\":1,\"unlimited\":true,\"key_hashes\":[]},"
		      "{\"name\":\"urgent\",\"rate_per_s\":1,\"burst\":1,"
		      "\"weight\":1,\"ranked\":true,\"priority\":2,"
		      "\"key_hashes\":[]}," +
		      account_row(3, 1);
	d.accounts.insert(d.accounts.find("\"]}") + 1,
			  ",\"" + hash_of("second") + "\"");
	Config c = parse(d.json(), &why);
	ASSERT_TRUE(c) << why;
	Config again = apply_table(table_of(c.get()), &why);
	ASSERT_TRUE(again) << why;
	EXPECT_EQ(8u, again->version);
	EXPECT_EQ(0u, bb_config_diff(c.get(), again.get(), nullptr, nullptr));
	EXPECT_EQ(table_of(c.get()), table_of(again.get()));
}

// Guards against a table that is refused because of the forms in which
// spreadsheet programs write it: byte order mark, CR LF, empty rows, quoted
// cells, no line end at the end.
TEST(Table, SpreadsheetForms)
{
	std::string why;
	std::string crlf = "\xef\xbb\xbf" + header + backend + ",,,,,,,,,,,\n";

	for (size_t at = 0; (at = crlf.find('\n', at)) != std::string::npos;
	     at += 2)
		crlf.replace(at, 1, "\r\n");
	crlf += "account,\"big, one \",1,10,20,,,,,,,";
	EXPECT_FALSE(apply_table(crlf, &why));
	EXPECT_NE(std::string::npos,
		  why.find("t.csv row 4 (name \"big, one \")"))
		<< why;
	crlf.replace(crlf.find("big, one "), 9, "big,one");
	Config c = apply_table(crlf, &why);
	ASSERT_TRUE(c) << why;
	EXPECT_STREQ("big,one", c->accounts[0].name);
	EXPECT_EQ(1.5, c->backends[0].weight);
	EXPECT_EQ(2u, c->hosts_nr);
	EXPECT_EQ(4u, c->routes_nr);
}

// A row of a table, and a part of the expected error.
struct Fault {
	const char *text;
	const char *message;
};

// Guards against an error that does not tell the operator which cell is wrong.
TEST(Table, ErrorsNameFileRowColumnValueAndRule)
{
	static const Fault faults[] = {
		{ "account,a,1,x,20,,,,,,,",
		  "t.csv row 3 (name \"a\"), column rate_per_s: \"x\" is not "
		  "a decimal number" },
		{ "account,a,\"1,5\",1,20,,,,,,,",
		  "t.csv row 3 (name \"a\"), column weight: \"1,5\" is not a "
		  "decimal number" },
		{ "account,a,0x10,1,20,,,,,,,", "is not a decimal number" },
		{ "account,a,1e999,1,20,,,,,,,", "is not a decimal number" },
		{ "account,a,,1,20,,,,,,,",
		  "t.csv row 3 (name \"a\"), column weight: value is missing" },
		{ "account,a,1,1,0,,,,,,,",
		  "t.csv row 3 (name \"a\"), column burst: 0 is not between 1 "
		  "and 1000000000" },
		{ "account,a,1,1,1,,,,in,,,",
		  "t.csv row 3 (name \"a\"), column state: cell must be empty "
		  "in a row of this kind" },
		{ "acount,a,1,1,1,,,,,,,",
		  "t.csv row 3 (name \"a\"), column kind: \"acount\" is not "
		  "account or backend" },
		{ "account,a,1,1,1,,,,,,",
		  "t.csv row 3 (name \"a\"): row and header have different "
		  "numbers of cells" },
		{ "backend,b,1,,,h9,orders,http://127.0.0.1:1,in,5,5,",
		  "t.csv row 3 (name \"b\"), column host: \"h9\" is not a "
		  "defined host" },
		{ "backend,b,1,,,h1,orders,http://127.0.0.1:1,in,5.5,5,",
		  "t.csv row 3 (name \"b\"), column slots: \"5.5\" is not a "
		  "whole number" },
		{ "backend,o1,1,,,h1,orders,http://127.0.0.1:1,in,5,5,",
		  "t.csv row 3 (name \"o1\"), column name: name is used "
		  "twice" },
		{ "account,a,1,1,1,,,,,,,bbk_secret",
		  "t.csv row 3 (name \"a\"), column key_hashes: hash 1 is not "
		  "a string of 64 lower-case hexadecimal digits" },
		{ "account,bbk_secret,bbk_secret,1,1,,,,,,,",
		  "t.csv row 3 (name \"(key)\"), column weight: \"(key)\" is "
		  "not a decimal number" },
		{ "account,\"a,1", "t.csv row 3: " },
	};
	std::string why;

	for (const Fault &f : faults) {
		EXPECT_FALSE(apply_table(header + backend + f.text, &why));
		EXPECT_NE(std::string::npos, why.find(f.message))
			<< "want: " << f.message << "\nhave: " << why;
		EXPECT_EQ(std::string::npos, why.find("secret")) << why;
	}
	EXPECT_FALSE(apply_table("kind,name,price\n", &why));
	EXPECT_EQ("t.csv row 1: \"price\" is not a known column", why);
	EXPECT_FALSE(apply_table("kind,name,name\n", &why));
	EXPECT_EQ("t.csv row 1, column name: column is given twice", why);
	EXPECT_FALSE(apply_table("name,weight\n", &why));
	EXPECT_EQ("t.csv row 1, column kind: column is missing", why);
	EXPECT_FALSE(apply_table("", &why));
	EXPECT_EQ("t.csv row 1: table has no header", why);
}

// Guards against a change that is not shown to the operators before they
// publish it.
TEST(Table, DiffListsEachChange)
{
	Document d;
	std::vector<std::string> changes;

	d.version = "9";
	d.accounts = account_row(1, 11) + "," + account_row(3, 1);
	d.extra = "";
	Config a = parse(Document().json());
	Config b = parse(d.json());
	size_t nr = bb_config_diff(
		a.get(), b.get(),
		[](void *context, const struct bb_config_change *c) {
			((std::vector<std::string> *)context)
				->push_back(std::string(c->table) + " " +
					    c->row + " " +
					    (c->column ? c->column : "") + " " +
					    (c->column ? c->before : "") + " " +
					    (c->after ? "after" : "before"));
		},
		&changes);
	EXPECT_EQ(3u, nr);
	EXPECT_EQ((std::vector<std::string>{
			  "accounts account-2   before",
			  "accounts account-3   after",
			  "accounts account-1 rate_per_s 10 after" }),
		  changes);
}
