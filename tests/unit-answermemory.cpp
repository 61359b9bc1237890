// The bound of the memory that unfinished answers take together, and whose answers end first.

#include "almondmill/forward/answermemory.h"
#include "almondmill/forward/answerreservation.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace almondmill::test {

namespace {

constexpr std::size_t Limit = 1000;

struct Answers
{
    std::shared_ptr<AnswerMemory> memory = std::make_shared<AnswerMemory>(Limit);
    std::vector<std::string> ended;
    std::vector<std::unique_ptr<AnswerReservation>> open;

    AnswerReservation &add(const std::string &endpoint)
    {
        open.push_back(std::make_unique<AnswerReservation>(
                memory, AnswerReservation::Origin{endpoint, "r1"},
                [this, endpoint] { ended.push_back(endpoint); }));
        return *open.back();
    }
};

} // namespace

// Guards against one endpoint that sends without end on many connections, each within the bound of
// one answer.
TEST(AnswerMemory, TheEndpointThatTakesMostLosesItsLargestAnswer)
{
    Answers answers;
    answers.add("sound").resize(300);
    answers.add("endless").resize(200);
    AnswerReservation &largest = answers.add("endless");
    largest.resize(250);
    answers.add("endless").resize(240);
    EXPECT_TRUE(answers.ended.empty());
    answers.add("other").resize(100);
    EXPECT_EQ(answers.ended, std::vector<std::string>{"endless"});
    EXPECT_TRUE(largest.isEnded());
    EXPECT_EQ(answers.memory->usedBytes(), 840U);
}

TEST(AnswerMemory, AnAnswerMayEndItself)
{
    Answers answers;
    AnswerReservation &answer = answers.add("endless");
    answer.resize(Limit + 1);
    EXPECT_TRUE(answer.isEnded());
    answer.resize(Limit + 2);
    EXPECT_EQ(answers.ended.size(), 1U);
    EXPECT_EQ(answers.memory->usedBytes(), 0U);
}

TEST(AnswerMemory, AnAnswerThatIsDoneTakesNoMemory)
{
    Answers answers;
    answers.add("a").resize(900);
    answers.open.clear();
    answers.add("b").resize(900);
    EXPECT_TRUE(answers.ended.empty());
    EXPECT_EQ(answers.memory->usedBytes(), 900U);
}

} // namespace almondmill::test
