#include <godwit/gateway/requestcontent.h>

#include <catch2/catch.hpp>

using namespace godwit;

// Guards against content that is not recognized when it comes again, and against different content
// that is taken for the same.
TEST_CASE("The content of a request")
{
    ClientRequest request;
    request.target = "/a";
    request.body = "body";
    request.promptParts = {"p1", "p2", "own"};
    const CustomerId customer("c");
    const RequestContent content = describeContent(request, "s", customer);

    SECTION("has the parts of its prompt but the last, which belongs to it alone")
    {
        CHECK(content.sharedParts.size() == 2);
        request.promptParts = {"own"};
        CHECK(describeContent(request, "s", customer).sharedParts.empty());
        request.promptParts = {};
        CHECK(describeContent(request, "s", customer).sharedParts.empty());
    }
    SECTION("has the same parts in another request")
    {
        ClientRequest other;
        other.promptParts = {"p2", "p1", "x"};
        const auto parts = describeContent(other, "s", CustomerId("d")).sharedParts;
        CHECK(parts == std::vector{content.sharedParts[1], content.sharedParts[0]});
        CHECK(describeContent(other, "t", customer).sharedParts != parts);
    }
    SECTION("is the same as a whole only for the same path, customer and body")
    {
        CHECK(isWholeRequest(content.whole));
        CHECK_FALSE(isWholeRequest(content.sharedParts[0]));
        request.promptParts = {};
        CHECK(describeContent(request, "s", customer).whole == content.whole);
        CHECK(describeContent(request, "s", CustomerId("d")).whole != content.whole);
        // The fields must not run into each other.
        request.target = "/ab";
        request.body = "ody";
        CHECK(describeContent(request, "s", customer).whole != content.whole);
    }
}
