#include <gtest/gtest.h>
#include <glib.h>
#include <cstring>
#include <functional>
#include <map>

#include "baobabward/publish.h"
#include "config_fixture.h"

struct PublicationDeleter {
	void operator()(struct bb_publication *p) const
	{
		bb_publication_delete(p);
	}
};
using Publication = std::unique_ptr<struct bb_publication, PublicationDeleter>;
using Index = std::unique_ptr<struct bb_index, decltype(&bb_index_delete)>;

class Publish : public testing::Test
{
      protected:
	uint8_t public_key[BB_SIGNING_PUBLIC_KEY_SIZE];
	uint8_t secret[BB_SIGNING_SECRET_KEY_SIZE];
	struct bb_error err = {};
	// Pages that assemble() uses instead of those of the publication.
	std::map<std::string, const struct bb_page *> replaced;

	void SetUp() override
	{
		ASSERT_EQ(0, bb_signing_key_generate(public_key, secret, &err));
	}

	Publication build(const struct bb_config *c,
			  const struct bb_index *previous = nullptr)
	{
		return Publication(
			bb_publication_build(c, previous, secret, &err));
	}

	// Finds a page of the publication, or its replacement.
	using Find = std::function<const struct bb_page *(const char *)>;

	Find finder(const Publication &p)
	{
		return [&](const char *name) -> const struct bb_page *
		{
			auto it = replaced.find(name);

			if (it != replaced.end())
				return it->second;
			for (size_t i = 0; i < p->pages_nr; i++)
				if (!strcmp(p->pages[i].name, name))
					return &p->pages[i];
			return nullptr;
		};
	}

	static const struct bb_page *call_finder(void *context,
						 const char *name)
	{
		return (*(Find *)context)(name);
	}

	Index index_of(const Publication &p)
	{
		Find find = finder(p);
		Index index(bb_index_parse(&p->pages[0], &err),
			    bb_index_delete);

		if (index &&
		    bb_index_expand(index.get(), call_finder, &find, &err))
			index.reset();
		return index;
	}

	Config assemble(const Publication &p)
	{
		Find find = finder(p);
		Index index = index_of(p);

		if (!index)
			return nullptr;
		return Config(bb_publication_assemble(index.get(), call_finder,
						      &find, &err));
	}
};

static Document large(int accounts, int changed = -1)
{
	Document d;

	d.accounts = "";
	for (int i = 0; i < accounts; i++)
		d.accounts += (i ? "," : "") +
			      account_row(i, i == changed ? 99 : i % 7);
	return d;
}

// Guards against rows that are lost or changed when a document is split into
// pages and assembled again, with row counts at the limits of the page sizes.
TEST_F(Publish, AssembledPagesEqualTheDocument)
{
	for (int n : { 0, 1, 63, 64, 65, 2000 }) {
		Document d = large(n);

		if (n)
			d.extra = ",\"hosts_version\":6,"
				  "\"hosts_version_before\":2";
		Config c = parse(d.json());
		ASSERT_TRUE(c);
		Publication p = build(c.get());
		ASSERT_TRUE(p) << err.message;
		for (size_t i = 0; i < p->pages_nr; i++)
			EXPECT_EQ(0, bb_page_verify(&p->pages[i], public_key,
						    &err));
		Config again = assemble(p);
		ASSERT_TRUE(again) << err.message;
		EXPECT_EQ(text_of(c.get()), text_of(again.get())) << n;
		EXPECT_EQ(c->seats_hash, again->seats_hash);
	}
}

// Guards against pages that depend on anything but the document and the key.
TEST_F(Publish, EqualDocumentsGiveEqualBytes)
{
	Config a = parse(large(500).json());
	Config b = parse(text_of(a.get()));
	Publication p = build(a.get());
	Publication q = build(b.get());

	ASSERT_EQ(p->pages_nr, q->pages_nr);
	for (size_t i = 0; i < p->pages_nr; i++) {
		EXPECT_STREQ(p->pages[i].name, q->pages[i].name);
		EXPECT_STREQ(p->pages[i].content, q->pages[i].content);
		EXPECT_EQ(0,
			  memcmp(p->pages[i].signature, q->pages[i].signature,
				 BB_PAGE_SIGNATURE_SIZE));
	}
}

static size_t pages_changed(const struct bb_index *a, const struct bb_index *b)
{
	std::map<std::string, std::string> old;
	size_t nr = 0;

	for (size_t i = 0; i < a->entries_nr; i++)
		old[a->entries[i].name] = std::string(
			(char *)a->entries[i].hash, BB_PAGE_HASH_SIZE);
	for (size_t i = 0; i < b->entries_nr; i++)
		nr += old[b->entries[i].name] !=
		      std::string((char *)b->entries[i].hash,
				  BB_PAGE_HASH_SIZE);
	return nr;
}

// Guards against a change of one row that moves the boundaries of other pages,
// so that all nodes have to read them again.
TEST_F(Publish, OneChangeChangesFewPages)
{
	Config a = parse(large(2000).json());
	Publication p = build(a.get());
	Index before = index_of(p);
	Document changed = large(2000, 1000);
	Document removed = large(2000);

	ASSERT_LT(10u, before->entries_nr);
	removed.accounts.erase(0, account_row(0, 0).size() + 1);
	changed.version = removed.version = "8";
	Config b = parse(changed.json());
	Publication q = build(b.get(), before.get());
	Index after = index_of(q);
	EXPECT_EQ(1u, pages_changed(before.get(), after.get()));
	EXPECT_EQ(before->lists_nr, after->lists_nr);
	size_t versions = 0;
	for (size_t i = 0; i < after->lists_nr; i++)
		versions += after->lists[i].version == 8;
	EXPECT_EQ(1u, versions);
	versions = 0;
	for (size_t i = 0; i < after->entries_nr; i++)
		versions += after->entries[i].version == 8;
	EXPECT_EQ(1u, versions);
	Config c = parse(removed.json());
	Publication r = build(c.get(), before.get());
	// A page or two more may change until the boundaries coincide again.
	EXPECT_GE(4u, pages_changed(before.get(), index_of(r).get()));
}

// Guards against the use of a page that was modified, truncated, renamed or
// taken from another version.
TEST_F(Publish, ForeignPagesAreRefused)
{
	Config a = parse(large(200).json());
	Document d = large(200, 10);
	d.version = "8";
	Config b = parse(d.json());
	Publication p = build(a.get());
	Publication q = build(b.get());
	size_t at = 0;

	for (size_t i = 0; i < p->pages_nr; i++)
		if (strcmp(p->pages[i].content, q->pages[i].content) != 0)
			at = i;
	ASSERT_LT(0u, at);
	ASSERT_STREQ(p->pages[at].name, q->pages[at].name);
	// A page of rows and a list page, each of another version or missing.
	for (size_t i : { at, (size_t)1 }) {
		ASSERT_STRNE(p->pages[i].content, q->pages[i].content);
		replaced[p->pages[i].name] = &q->pages[i];
		EXPECT_FALSE(assemble(p));
		EXPECT_EQ(BB_ERROR_SIGNATURE, err.code);
		replaced[p->pages[i].name] = nullptr;
		EXPECT_FALSE(assemble(p));
		replaced.clear();
	}

	struct bb_page page = p->pages[at];
	page.size--;
	EXPECT_EQ(-1, bb_page_verify(&page, public_key, &err));
	page = p->pages[at];
	page.name = p->pages[1].name;
	EXPECT_EQ(-1, bb_page_verify(&page, public_key, &err));
	page = p->pages[at];
	page.signature[5] ^= 1;
	EXPECT_EQ(-1, bb_page_verify(&page, public_key, &err));
	page = p->pages[at];
	page.content[page.size / 2] ^= 1;
	EXPECT_EQ(-1, bb_page_verify(&page, public_key, &err));
	EXPECT_EQ(BB_ERROR_SIGNATURE, err.code);
	public_key[0] ^= 1;
	EXPECT_EQ(-1, bb_page_verify(&p->pages[0], public_key, &err));
}

// Guards against an encoded page that is decoded differently, or whose
// truncation is not detected.
TEST_F(Publish, EncodedPageIsReadBack)
{
	Config c = parse(Document().json());
	Publication p = build(c.get());
	size_t size;
	char *data = bb_page_encode(&p->pages[1], &size);
	struct bb_page *page =
		bb_page_decode(p->pages[1].name, data, size, &err);

	ASSERT_TRUE(page);
	EXPECT_EQ(0, bb_page_verify(page, public_key, &err));
	bb_page_delete(page);
	for (size_t n = 0; n < size; n++) {
		page = bb_page_decode(p->pages[1].name, data, n, &err);
		EXPECT_TRUE(!page || bb_page_verify(page, public_key, &err));
		bb_page_delete(page);
	}
	g_free(data);
}

// Guards against an accepted index that lists a page twice, itself, or a
// malformed hash, or that has malformed fields.
TEST_F(Publish, MalformedIndexIsRefused)
{
	const std::string hash(64, 'a');
	const std::string entry =
		"{\"name\":\"settings\",\"version\":1,\"hash\":\"" + hash +
		"\"}";
	auto accepts = [&](const std::string &content) {
		std::string copy = content;
		char name[] = BB_PAGE_INDEX;
		struct bb_page page = { name, &copy[0], copy.size(), {} };
		Index index(bb_index_parse(&page, &err), bb_index_delete);

		return index != nullptr;
	};

	EXPECT_TRUE(accepts("{\"version\":1,\"pages\":[" + entry + "]}"));
	EXPECT_FALSE(accepts("{\"version\":0,\"pages\":[" + entry + "]}"));
	EXPECT_FALSE(accepts("{\"version\":1,\"pages\":[" + entry + "," +
			     entry + "]}"));
	EXPECT_FALSE(accepts("{\"version\":1,\"pages\":{}}"));
	EXPECT_FALSE(accepts("{\"version\":1,\"x\":1,\"pages\":[]}"));
	for (const char *from : { "settings", "aaaa", "\"version\":1,\"h" }) {
		std::string bad = entry;

		bad.replace(bad.find(from), strlen(from),
			    from[0] == 's' ? "index" : "\"x");
		EXPECT_FALSE(accepts("{\"version\":1,\"pages\":[" + bad + "]}"))
			<< bad;
	}
}
